package main

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway"
	"github.com/wisteriahaven/wisteriahaven/logring"
	"github.com/wisteriahaven/wisteriahaven/platform"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// runGateway runs an instance that forwards requests and returns its exit code.
// SIGTERM and SIGINT in signals stop it; SIGHUP, or a change of the file, reloads the
// settings.
func runGateway(loaded settings.Settings, file string, level zerolog.Level, signals <-chan os.Signal) int {
	lines := logring.New(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	var logWriter sync.WaitGroup
	logWriter.Go(func() { lines.Run(ctx) })
	defer logWriter.Wait()
	defer cancel()
	logger := zerolog.New(lines).Level(level).With().Timestamp().Logger()
	feed := platform.NewFeed(platform.NewClient(loaded.Gateway.Store), logger)
	instance := gateway.New(loaded, gateway.Adapters{
		Feed: feed, Streams: feed, Quarantines: feed, Versions: feed, Rollouts: feed,
		Protocol: platform.Protocol{}, Decode: platform.DecodeConfiguration, DroppedLogLines: lines.Dropped,
	}, logger)
	if err := instance.Start(); err != nil {
		return fail(err, exitFailure)
	}
	watched := watchedFile{path: file}
	watched.changed()
	fileTicker := time.NewTicker(fileCheckInterval)
	defer fileTicker.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				instance.Stop()
				return 0
			}
			watched.changed()
			reload(file, instance, logger)
		case <-fileTicker.C:
			if watched.changed() {
				reload(file, instance, logger)
			}
		}
	}
}

// fileCheckInterval is the interval of the checks whether the settings file changed, which
// may happen without a signal.
const fileCheckInterval = 5 * time.Second

// reload reads the settings again and applies them. Invalid or unreadable ones
// are logged and change nothing.
func reload(file string, instance *gateway.Gateway, logger zerolog.Logger) {
	changed, err := settings.Load(file)
	if err != nil {
		event.Log(logger, event.SettingsInvalid).Str("file", file).Err(err).Send()
		return
	}
	instance.Apply(changed)
}
