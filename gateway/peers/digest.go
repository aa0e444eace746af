package peers

import (
	"net/netip"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
)

// Digest is what one instance tells another.
type Digest struct {
	Instance   string
	DataCentre string
	// Incarnation is a number that each process draws: the time of day, which
	// may step back, does not order processes.
	Incarnation uint64
	// Sequence orders the digests of one process.
	Sequence uint64
	// Version is the configuration in force, Revision that of the newest known
	// entry of a backend server.
	Version  uint64
	Revision uint64
	// Servers is the fingerprint of the known backend servers.
	Servers uint64
	// Relay is set while the instance follows the object store and the store
	// answers.
	Relay bool
	// Leaving is set while the instance stops.
	Leaving bool
	// Greeting asks for a digest in return.
	Probe bool
	// HasLoads says that Loads are all loads that the receiver needs; servers
	// without an entry have none.
	HasLoads      bool
	Loads         []ServerLoad
	FailedServers []FailedServer
	// Usages are the sends to each service lately, for instances of the same
	// data centre.
	Usages []ServiceUsage
	// Members are addresses of other instances.
	Members []netip.Addr
}

// ServerLoad is the load that an instance has at a server.
type ServerLoad struct {
	Server string
	Load   placement.Load
}

// ServiceUsage is how often an instance sent requests of a service to second
// servers lately.
type ServiceUsage struct {
	Service string
	Usage   secondsends.Usage
}

// LostServer is a server that an instance could not reach.
type FailedServer struct {
	Server     string
	DataCentre string
	// Age is the time since it was noticed.
	Age time.Duration
	// Down says that nothing listened at its address.
	Down bool
}
