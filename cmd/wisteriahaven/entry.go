package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/entry"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// entryCommand runs an entry instance.
type entryCommand struct {
	Settings string `arg:"--settings,required,env:WISTERIAHAVEN_SETTINGS" help:"file with the bootstrap settings"`
	LogLevel string `arg:"--log-level,env:WISTERIAHAVEN_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

// run starts the instance and stops it on SIGTERM or SIGINT without cutting a
// request.
func (c *entryCommand) run() int {
	// Before anything else: SIGHUP ends a process that does not handle it yet.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return fail(err, exitUsage)
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return fail(err, exitUsage)
	}
	if loaded.Gateway != nil {
		return runGateway(loaded, c.Settings, level, signals)
	}
	signal.Reset(syscall.SIGHUP)
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	instance := entry.New(loaded, logger)
	if err := instance.Start(); err != nil {
		return fail(err, exitFailure)
	}
	<-signals
	if err := instance.Stop(context.Background()); err != nil {
		return fail(err, exitFailure)
	}
	return 0
}
