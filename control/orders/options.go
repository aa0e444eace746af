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

// Intervals and bounds of the duty.
const (
	DefaultTickInterval = 500 * time.Millisecond
	DefaultPollInterval = 2 * time.Second
	pollConcurrency     = 16
	// failedPollThreshold is how many polls in a row must fail until an engine counts as failed.
	failedPollThreshold = 2
)

// Options holds the parameters and dependencies of a Controller.
type Options struct {
	// Instance is the name of this instance, a part of the order ids.
	Instance   string
	DataCentre string
	// Candidate reports whether this instance should try to acquire the lease. Only a few
	// instances of a data centre do, to limit the reads of the platform.
	Candidate     func() bool
	Store         objectstore.Store
	Configuration serving.ConfigurationSource
	Recorder      serving.Recorder
	Engines       *engine.Client
	Logger        zerolog.Logger
	Lease         lease.Settings
	Orders        decision.Settings
	// PollInterval is the interval between two polls of the engines.
	PollInterval time.Duration
}
