package loopback

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/standin/engine"
)

// Options choose what to run.
type Options struct {
	// Directory holds estate.json, keys.json and instances/.
	Directory string
	// DeclaredAddresses uses the addresses of the example's files in place of
	// free ports.
	DeclaredAddresses bool
	// Entries bounds the entry instances; zero runs all.
	MaxEntries int
	// Engine gives the speeds of every engine; names, models and slots come
	// from the estate. A Salt makes each engine's answers differ from those of
	// the others.
	Engine engine.Settings
	// LimitPeriod is the instances' period of exchanging limit reports; an
	// instance is ready after four of them. Short ones divide limits badly.
	LimitPeriod time.Duration
	// InstanceListLag is how late the platform's list is.
	InstanceListLag time.Duration
	// Logger is used by the entry instances.
	Logger zerolog.Logger
}
