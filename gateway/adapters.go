package gateway

import (
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/forward"
	"github.com/wisteriahaven/wisteriahaven/gateway/quarantinearchive"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/gateway/streamarchive"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/gateway/versionarchive"
)

// Adapters holds the adapters to the platform around the instance.
type Adapters struct {
	Feed        discovery.Feed
	Streams     streamarchive.Store
	Quarantines quarantinearchive.Store
	Versions    versionarchive.Store
	// Rollouts holds the orders to move services to other software versions.
	Rollouts rollouts.Store
	Protocol Protocol
	// Decode parses a configuration document that another instance sent.
	Decode func(document []byte) (*discovery.Configuration, error)
	// DialServer opens connections to backend servers; nil for plain TCP.
	DialServer upstream.Dial
	// DroppedLogLines returns the number of log lines that were dropped.
	DroppedLogLines func() int64
}

// Protocol reads and writes messages of clients, backend servers and the balancer.
type Protocol interface {
	forward.Protocol
	// ReadinessPath is the path of the balancer's readiness checks.
	ReadinessPath() string
}
