package main

import (
	"context"
	"os"
	"os/signal"
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

// runGateway runs an instance that forwards requests. SIGTERM and SIGINT stop
// it; SIGHUP, or a change of the file, reads the settings again.
func runGateway(loaded settings.Settings, file string, level zerolog.Level) int {
	lines := logring.New(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	var written sync.WaitGroup
	written.Go(func() { lines.Run(ctx) })
	defer written.Wait()
	defer cancel()
	logger := zerolog.New(lines).Level(level).With().Timestamp().Logger()
	feed := platform.NewFeed(platform.NewClient(loaded.Gateway.Store), logger)
	instance := gateway.New(loaded, gateway.Adapters{
		Feed: feed, Protocol: platform.Protocol{}, Decode: platform.DecodeConfiguration, DroppedLogLines: lines.Dropped,
	}, logger)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	if err := instance.Start(); err != nil {
		return fail(err, exitFailure)
	}
	watched := watchedFile{path: file}
	watched.changed()
	look := time.NewTicker(fileCheck)
	defer look.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				instance.Stop()
				return 0
			}
			watched.changed()
			reload(file, instance, logger)
		case <-look.C:
			if watched.changed() {
				reload(file, instance, logger)
			}
		}
	}
}

// fileCheck is the time between two looks at the settings file, which may change
// without a signal.
const fileCheck = 5 * time.Second

// reload reads the settings again and applies them; a file that can't be read
// changes nothing.
func reload(file string, instance *gateway.Gateway, logger zerolog.Logger) {
	changed, err := settings.Load(file)
	if err != nil {
		event.Log(logger, event.SettingsInvalid).Str("file", file).Err(err).Send()
		return
	}
	instance.Apply(changed)
}
