package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/demo"
)

// demoCommand runs the demo on an example estate.
type demoCommand struct {
	Estate string `arg:"--estate" default:"examples/bavaria" help:"directory of the example estate"`
	Log    bool   `arg:"--log" help:"print the instances' log events"`
}

func (c *demoCommand) run(ctx context.Context) int {
	logger := zerolog.Nop()
	if c.Log {
		logger = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	results, err := demo.Run(ctx, demo.Options{Directory: c.Estate, Progress: os.Stdout, Logger: logger})
	if err != nil {
		return fail(err)
	}
	if err := demo.WriteTable(os.Stdout, results); err != nil {
		return fail(err)
	}
	for _, result := range results {
		if !result.Passed() {
			return exitFailure
		}
	}
	return 0
}
