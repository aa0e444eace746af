package loopback

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/standin/engine"
)

// Options selects what to run.
type Options struct {
	// Directory holds estate.json, keys.json and instances/.
	Directory string
	// DeclaredAddresses uses the addresses of the example's files instead of
	// free ports.
	DeclaredAddresses bool
	// MaxEntries is the maximum number of entry instances; zero runs all.
	MaxEntries int
	// Engine sets the speeds of every engine; names, models and slots come
	// from the estate. With a Salt, each engine's answers differ from those of
	// the others.
	Engine engine.Settings
	// LimitPeriod is the interval at which the instances exchange limit
	// reports; zero uses a short default. An instance is ready after four
	// periods. Short periods divide limits inaccurately.
	LimitPeriod time.Duration
	// InstanceListLag is the delay until a change shows in the platform's list.
	InstanceListLag time.Duration
	// Logger is used by the entry instances.
	Logger zerolog.Logger
}
