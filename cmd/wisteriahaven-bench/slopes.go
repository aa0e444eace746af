package main

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/experiment/slopes"
)

// slopesCommand measures the control cost of an instance.
type slopesCommand struct {
	Seed   uint64  `arg:"--seed" default:"1" help:"seed of every random choice"`
	Scale  float64 `arg:"--scale" default:"1" help:"multiple of the time that each point is measured"`
	Output string  `arg:"--output" default:"table" help:"json or table"`
}

func (c *slopesCommand) run(ctx context.Context) int {
	command := experimentCommand{Name: slopes.Experiment.Name, Seed: c.Seed, Scale: c.Scale, Output: c.Output}
	return command.runOne(ctx, slopes.Experiment)
}
