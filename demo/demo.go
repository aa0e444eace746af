package demo

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/loopback"
)

// Token interval of the engines and time limit of the whole demo.
const (
	tokenTime   = 10 * time.Millisecond
	demoTimeout = 90 * time.Second
)

// Options selects the estate and the outputs.
type Options struct {
	// Directory holds the example estate to run.
	Directory string
	// Progress receives one line for each step.
	Progress io.Writer
	// Logger is used by the entry instances.
	Logger zerolog.Logger
}

// Demo holds a running estate and what the scenarios use of it.
type Demo struct {
	options Options
	estate  *loopback.Estate
	keys    []string
	model   string
}

// Run starts the estate, runs every scenario and returns the results.
func Run(ctx context.Context, options Options) ([]Result, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	running, err := loopback.Start(loopback.Options{
		Directory: options.Directory,
		Engine:    engine.Settings{TokenTime: tokenTime},
		Logger:    options.Logger,
	})
	if err != nil {
		return nil, err
	}
	defer running.Stop()
	demo := &Demo{options: options, estate: running}
	if err := demo.prepare(); err != nil {
		return nil, err
	}
	demo.progress("estate %s: %d entry instances, %d engines, %d service servers", options.Directory,
		len(running.Entries), len(running.Engines), len(running.Services))
	return demo.scenarios(ctx), nil
}

// prepare selects the model and the keys that the scenarios use.
func (d *Demo) prepare() error {
	names := make([]string, 0, len(d.estate.Keys.ClientAccounts))
	for name := range d.estate.Keys.ClientAccounts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		d.keys = append(d.keys, d.estate.Keys.ClientAccounts[name])
	}
	for _, service := range d.estate.Configuration.Services {
		if service.Kind == estate.ServiceGeneration {
			d.model = service.Models[0]
			return nil
		}
	}
	return fault.New(fault.SettingsInvalid, "the estate has no generation service")
}

func (d *Demo) scenarios(ctx context.Context) []Result {
	steps := []func(context.Context) Result{
		d.plainAnswers,
		d.engineFails,
		d.instanceFails,
		d.callsRunAtMostOnce,
		d.dataCentreFails,
	}
	var results []Result
	for _, step := range steps {
		result := step(ctx)
		d.progress("%s: %d answers, %d tokens, %d failures", result.Scenario, result.Answers, result.Tokens, len(result.Failures))
		results = append(results, result)
	}
	return results
}

func (d *Demo) progress(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.options.Progress, format+"\n", arguments...)
}

// client returns a client of one account for the given instances.
func (d *Demo) client(account int, addresses []string) *client.Client {
	return client.New(client.Options{Addresses: addresses, Key: d.keys[account%len(d.keys)]})
}
