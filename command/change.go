package command

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/document"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Change returns the configuration that a command produces from the current
// one, which it does not modify. The new configuration is validated as a whole;
// the error is a *fault.Error or document.Problems. Equal(current, next) reports
// whether the command changed nothing.
func Change(command *Command, current *estate.Configuration, files Files) (*estate.Configuration, error) {
	next, err := evaluate(command, current, files)
	if err != nil {
		return nil, err
	}
	if err := invalid(estate.Validate(next)); err != nil {
		return nil, err
	}
	return next, invalid(estate.ValidateChange(current, next))
}

// evaluate applies a command to a copy of the current configuration.
func evaluate(command *Command, current *estate.Configuration, files Files) (*estate.Configuration, error) {
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

// invalid returns problems as the error of a command, nil when there are none.
func invalid(problems document.Problems) error {
	if len(problems) == 0 {
		return nil
	}
	first := problems[0]
	return &fault.Error{Code: fault.CommandInvalid, Field: first.Path, Reason: first.Reason, Cause: problems.Err()}
}

// clone copies a configuration so that its lists can be modified. Elements are
// shared with the original and must be replaced, not modified in place.
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

// RequiredRevision returns the revision that the command requires with "if revision",
// and whether it has that clause.
func (c *Command) RequiredRevision() (revision uint64, given bool, err error) {
	number := c.requiredRevision()
	if number == nil {
		return 0, false, nil
	}
	revision, err = number.parse(0, 1<<63)
	return revision, true, err
}

func (c *Command) requiredRevision() *Number {
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
