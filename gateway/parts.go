package gateway

import (
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/forward"
)

// Parts are the adapters to what is outside the system.
type Adapters struct {
	Feed     discovery.Feed
	Protocol Protocol
	// Decode reads a configuration document that another instance sent.
	Decode func(document []byte) (*discovery.Configuration, error)
	// DroppedLogLines returns the number of log lines that were dropped.
	DroppedLogLines func() int64
}

// Protocol spells what clients, backend servers and the balancer say.
type Protocol interface {
	forward.Protocol
	// ReadinessPath is the path that the balancer asks.
	ReadinessPath() string
}
