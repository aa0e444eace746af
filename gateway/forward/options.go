package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
)

// Options are the parts of a forwarder.
type Options struct {
	Protocol  Protocol
	State     *discovery.State
	Directory *directory.Directory
	ReloadableOptions
	// Place is the place of this instance.
	Place  placement.Place
	Policy placement.Policy
	// Group returns the place of this instance among those that share that
	// bound.
	Group func() peers.Group
	// Lost is called with each server that could not be reached.
	OnUnreachable func(server *directory.Server, down bool)
	Logger        zerolog.Logger
	Metrics       metrics.Registry
}

// Times of forwarding.
const (
	// usualPatience is assumed when neither client nor route give a time.
	usualPatience = 30 * time.Second
	// answerMargin is how long before the deadline the own answer is sent, so
	// that it reaches the client before it gives up.
	answerMargin = 30 * time.Millisecond
	// leastSend is the time that a request must have left to be sent once more:
	// the users' calls take 30 ms, and a connection and an answer some more.
	leastSend = 40 * time.Millisecond
	// connectTimeout bounds the opening of a connection: a round trip between
	// regions takes 60 ms, and a lost opening packet is repeated after a
	// second.
	connectTimeout = 350 * time.Millisecond
)
