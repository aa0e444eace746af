package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway"
	"github.com/wisteriahaven/wisteriahaven/logring"
	"github.com/wisteriahaven/wisteriahaven/platform"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// runGateway runs an instance that forwards requests. SIGTERM and SIGINT stop
// it; SIGHUP reads the settings again.
func runGateway(loaded settings.Settings, file string, level zerolog.Level) int {
	lines := logring.New(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	var written sync.WaitGroup
	written.Go(func() { lines.Run(ctx) })
	defer written.Wait()
	defer cancel()
	logger := zerolog.New(lines).Level(level).With().Timestamp().Logger()
	feed := platform.NewFeed(platform.NewClient(loaded.Gateway.Store), logger)
	instance := gateway.New(loaded, gateway.Parts{
		Feed: feed, Protocol: platform.Protocol{}, Decode: platform.DecodeDocument, DroppedLogLines: lines.Dropped,
	}, logger)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	if err := instance.Start(); err != nil {
		return fail(err, exitFailure)
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		reload(file, logger)
	}
	instance.Stop()
	return 0
}

// reload reads the settings again. Listeners and the store stay as they are
// until the next start; a file that can't be read changes nothing.
func reload(file string, logger zerolog.Logger) {
	_, err := settings.Load(file)
	event.Log(logger, event.SettingsReloaded).Str("file", file).AnErr("problem", err).Send()
}
