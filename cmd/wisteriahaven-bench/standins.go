package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/loopback"
)

// standinsCommand runs the stand-ins of an estate, without entry instances, on
// the addresses that its files declare.
type standinsCommand struct {
	Estate    string        `arg:"--estate" default:"examples/bavaria" help:"directory of the example estate"`
	TokenTime time.Duration `arg:"--token-time" default:"29ms" help:"time between tokens of the engines"`
}

func (c *standinsCommand) run(ctx context.Context) int {
	running, err := loopback.StartStandins(loopback.Options{
		Directory: c.Estate,
		Engine:    engine.Settings{TokenTime: c.TokenTime},
		Logger:    zerolog.Nop(),
	})
	if err != nil {
		return fail(err)
	}
	defer running.Stop()
	fmt.Printf("object API    %s\ninstance list %s\n", running.ObjectAPI.URL(), running.InstanceList.URL())
	fmt.Printf("%d engines and %d service servers run; stop with an interrupt\n", len(running.Engines), len(running.Services))
	<-ctx.Done()
	return 0
}
