package main

import (
	"context"
	"os"

	"github.com/wisteriahaven/wisteriahaven/ctl"
)

// ctlDumpCommand prints the state of one instance or of all.
type ctlDumpCommand struct {
	Decisions int    `arg:"--decisions" default:"100" help:"newest decisions of each instance with --all"`
	All       bool   `arg:"--all" help:"gather the states of every instance"`
	Instance  string `arg:"positional" help:"name of an instance; the one that answers when not given"`
}

func (c *ctlDumpCommand) run(ctx context.Context, parent *ctlCommand) int {
	session := parent.session("", 0)
	if c.All {
		states, err := session.Dumps(ctx, c.Decisions)
		if err != nil {
			return fail(err, ctl.ExitFailure)
		}
		ctl.WriteJSON(os.Stdout, states)
		return ctl.ExitOK
	}
	state, err := session.Dump(ctx, c.Instance)
	if err != nil {
		return fail(err, ctl.ExitFailure)
	}
	ctl.WriteJSON(os.Stdout, state)
	return ctl.ExitOK
}
