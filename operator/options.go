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

// Configurations reads and changes the configuration stored in the platform.
type Configurations interface {
	// Load returns the newest revision.
	Load(ctx context.Context) (configstore.Snapshot, error)
	// Commit replaces the base configuration with the next. Errors are those of
	// configstore.CommitCommand.
	Commit(ctx context.Context, base, next *estate.Configuration, command configstore.Command) (uint64, error)
}

// Peers reaches the other instances on behalf of an operator.
type Peers interface {
	// Dumps returns the states of all instances, including this one, with up to
	// the given number of their newest decisions.
	Dumps(ctx context.Context, token string, decisions int) dump.Estate
	// DumpsAbout returns the states of all instances, including this one, with their
	// recorded decisions about a subject or a backend server.
	DumpsAbout(ctx context.Context, token, name string) dump.Estate
	// Revisions returns the in-force revisions of all instances, including this.
	Revisions(ctx context.Context, token string) []operatorapi.InstanceRevision
	// Dump returns the state of one other instance.
	Dump(ctx context.Context, token, instance string) (dump.Instance, error)
	// Command sends a command to every other instance, or only to those of the
	// data centre if one is given. It returns how many accepted it and those that
	// failed or did not answer; an instance that answers NotFound is in neither.
	Command(ctx context.Context, token, dataCentre string, request operatorapi.Request) (accepted int, pending []operatorapi.InstanceRevision)
}

// Quarantines releases quarantined requests on this instance.
type Quarantines interface {
	// Release returns NotFound for a fingerprint that is not quarantined.
	Release(fingerprint string) error
}

// Options holds the dependencies of the operator listener and the executor.
type Options struct {
	Instance       string
	DataCentre     string
	Configurations Configurations
	// Current provides the in-force configuration of this instance.
	Current     serving.ConfigurationSource
	Peers       Peers
	LocalDrains *LocalDrains
	Quarantines Quarantines
	// Announcer sends the local drains to peers; nil sends nothing.
	Announcer Announcer
	Logger    zerolog.Logger
	// Now returns the time; nil stands for time.Now.
	Now func() time.Time
	// Pause waits and reports whether the context is still active; nil stands
	// for a timer.
	Pause func(ctx context.Context, wait time.Duration) bool
}
