package peers

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
)

// Ledger is what the service tells of and is told about.
type Ledger interface {
	// Loads returns the own load at each server.
	Loads() []ServerLoad
	// Report takes over the loads of another instance.
	Report(instance string, loads []ServerLoad)
	// Usages returns the own sends to each service lately.
	Usages() []ServiceUsage
	// UsagesElsewhere takes over those of another instance of the data centre.
	ReportUsages(instance string, usages []ServiceUsage)
	// LostElsewhere takes over that another instance lost a server.
	ReportFailure(lost FailedServer)
	// Expire drops reports that are older than a lifetime.
	Expire(lifetime time.Duration)
}

// Options are the parts of a service.
type Options struct {
	Instance   string
	DataCentre string
	// Address is that of the UDP and the TCP listener.
	Address   netip.AddrPort
	Seeds     []netip.Addr
	State     *discovery.State
	Directory *directory.Directory
	Follower  *discovery.Follower
	Ledger    Ledger
	// Decode reads a configuration document.
	Decode func(document []byte) (*discovery.Configuration, error)
	Logger zerolog.Logger
}
