package operator

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Configurations reads and changes the configuration in the platform.
type Configurations interface {
	// Load returns the newest revision.
	Load(ctx context.Context) (configstore.Snapshot, error)
	// Commit replaces the base by the next configuration. Errors are those of
	// configstore.CommitCommand.
	Commit(ctx context.Context, base, next *estate.Configuration, command configstore.Command) (uint64, error)
}

// Peers reaches the other instances on behalf of an operator.
type Peers interface {
	// Dumps returns the states of every instance, this one included, with their
	// newest decisions.
	Dumps(ctx context.Context, token string, decisions int) dump.Estate
	// About returns the states of every instance, this one included, with their
	// kept decisions about a subject or a backend server.
	DumpsAbout(ctx context.Context, token, name string) dump.Estate
	// Revisions returns the revision in force on every instance, this one
	// included.
	Revisions(ctx context.Context, token string) []operatorapi.InstanceRevision
	// Dump returns the state of one other instance.
	Dump(ctx context.Context, token, instance string) (dump.Instance, error)
	// Command sends a command to every other instance, or to those of one data
	// centre when it is not empty. It returns how many took
	// it and those that did not answer; an instance that answers NotFound is in
	// neither.
	Command(ctx context.Context, token, dataCentre string, request operatorapi.Request) (taken int, pending []operatorapi.InstanceRevision)
}

// Quarantines releases quarantined requests on this instance.
type Quarantines interface {
	// Release returns NotFound for a fingerprint that is not quarantined.
	Release(fingerprint string) error
}

// Parts are what the operators' side of an instance is made of.
type Options struct {
	Instance       string
	DataCentre     string
	Configurations Configurations
	// Current is the configuration in force on this instance.
	Current     serving.ConfigurationSource
	Peers       Peers
	LocalDrains *LocalDrains
	Quarantines Quarantines
	// Announcer spreads the marks; nil spreads nothing.
	Announcer Announcer
	Logger    zerolog.Logger
	// Now returns the time; nil stands for time.Now.
	Now func() time.Time
	// Pause waits and reports whether the context still runs; nil stands for a
	// timer.
	Pause func(ctx context.Context, wait time.Duration) bool
}
