package command

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/document"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Change returns the configuration that follows the current one by a command.
// The current one is not altered. The next one is checked whole; the error is
// a *fault.Error or document.Problems. Equal(current, next) tells whether the
// command changes anything.
func Change(command *Command, current *estate.Configuration, files Files) (*estate.Configuration, error) {
	next, err := follow(command, current, files)
	if err != nil {
		return nil, err
	}
	if err := invalid(estate.Validate(next)); err != nil {
		return nil, err
	}
	return next, invalid(estate.ValidateChange(current, next))
}

// follow carries a command out on a copy of the current configuration.
func follow(command *Command, current *estate.Configuration, files Files) (*estate.Configuration, error) {
	next := clone(current)
	switch {
	case command.Admit != nil:
		return admit(command.Admit, next, files)
	case command.Apply != nil:
		return apply(command.Apply, next, files)
	case command.Drain != nil:
		return next, drain(command.Drain, next)
	case command.Shift != nil:
		return next, shift(command.Shift, next)
	case command.Set != nil:
		return next, set(command.Set, next)
	default:
		return nil, fault.New(fault.CommandInvalid, "the command changes nothing")
	}
}

// invalid turns problems into the error of a command.
func invalid(problems document.Problems) error {
	if len(problems) == 0 {
		return nil
	}
	first := problems[0]
	return &fault.Error{Code: fault.CommandInvalid, Field: first.Path, Reason: first.Reason, Cause: problems.Err()}
}

// clone copies a configuration so that its lists can be altered. Elements are
// replaced, never altered in place.
func clone(current *estate.Configuration) *estate.Configuration {
	next := *current
	next.Regions = slices.Clone(current.Regions)
	next.DataCentres = slices.Clone(current.DataCentres)
	next.Firms = slices.Clone(current.Firms)
	next.ClientAccounts = slices.Clone(current.ClientAccounts)
	next.Models = slices.Clone(current.Models)
	next.Services = slices.Clone(current.Services)
	next.Rules = slices.Clone(current.Rules)
	next.BackendServers = slices.Clone(current.BackendServers)
	next.Drains = slices.Clone(current.Drains)
	next.Shifts = slices.Clone(current.Shifts)
	return &next
}

// Condition returns the revision that the command demands with "if revision".
func (c *Command) RequiredRevision() (revision uint64, given bool, err error) {
	number := c.condition()
	if number == nil {
		return 0, false, nil
	}
	revision, err = number.whole(0, 1<<63)
	return revision, true, err
}

func (c *Command) condition() *Number {
	switch {
	case c.Admit != nil:
		return c.Admit.If
	case c.Drain != nil:
		return c.Drain.If
	case c.Shift != nil:
		return c.Shift.If
	case c.Set != nil:
		return c.Set.If
	case c.Apply != nil:
		return c.Apply.If
	default:
		return nil
	}
}
