package orders

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/lease"
	decision "github.com/wisteriahaven/wisteriahaven/decision/orders"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// Times and sizes of the duty.
const (
	DefaultTickInterval = 500 * time.Millisecond
	DefaultPollInterval = 2 * time.Second
	observeConcurrency  = 16
	// failuresUntilDead is how many polls in a row must fail.
	failuresUntilDead = 2
)

// Options are what a Keeper works with.
type Options struct {
	// Instance names this instance in the ids of orders.
	Instance   string
	DataCentre string
	// Candidate reports whether this instance should try for the lease; few
	// instances of a data centre do, so that the platform's reads stay few.
	Candidate     func() bool
	Store         objectstore.Store
	Configuration serving.ConfigurationSource
	Recorder      serving.Recorder
	Engines       *engine.Client
	Logger        zerolog.Logger
	Lease         lease.Settings
	Orders        decision.Settings
	// Observe is the time between two looks at the engines.
	PollInterval time.Duration
}
