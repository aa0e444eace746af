package main

import (
	"context"
	"os"
	"time"

	"github.com/wisteriahaven/wisteriahaven/ctl"
)

// ctlWatchCommand shows the estate and refreshes it at an interval.
type ctlWatchCommand struct {
	Interval time.Duration `arg:"--interval" default:"1s" help:"time between two looks"`
	Count    int           `arg:"--count" help:"end after so many looks"`
}

func (c *ctlWatchCommand) run(ctx context.Context, parent *ctlCommand) int {
	return parent.session("", 0).Watch(ctx, ctl.WatchOptions{Interval: c.Interval, Count: c.Count, Terminal: isTerminal(os.Stdout)})
}
