package peers

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/decision/serverrate"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/internal/contain"
)

// Ledger supplies the data that digests carry and receives that of peers.
type Ledger interface {
	// Loads returns the load that this instance puts on each server.
	Loads() []ServerLoad
	// Report replaces the loads recorded for a peer.
	Report(instance string, loads []ServerLoad)
	// Usages returns this instance's recent second sends for each service.
	Usages() []ServiceUsage
	// ReportUsages records the second sends of a peer in the same data centre.
	ReportUsages(instance string, usages []ServiceUsage)
	// Rates returns this instance's estimates of how fast generations proceed.
	Rates() []ServiceRate
	// ReportRates records the estimates of a peer.
	ReportRates(instance string, rates []ServiceRate)
	// Rejections returns the rejection limits that servers stated to this instance, and its latest requests that such servers
	// rejected. ReportRejections records those of a peer.
	Rejections() ([]rejections.ServiceLimit, []rejections.ServerRejections)
	ReportRejections(instance string, limits []rejections.ServiceLimit, reported []RejectionReport)
	// RequestRates returns the request rates that servers state, as far as known. ReportRequestRates records those of a peer.
	RequestRates() []serverrate.Statement
	ReportRequestRates(statements []serverrate.Statement)
	// Waiting returns this instance's requests that wait for room. ReportWaiting replaces those of a peer in the same data centre.
	Waiting() []ServiceWaiting
	ReportWaiting(instance string, waiting []ServiceWaiting)
	// Speeds returns what this instance observed last about the speed of servers. ReportSpeeds records what a peer observed,
	// and returns the number of servers whose figures are impossible or too old.
	Speeds() []load.Share
	ReportSpeeds(shares []load.Share) (invalid int)
	// CentreStatements returns what this instance states about services in its data centre. ReportCentre records what a peer
	// of a data centre states, and returns the number of statements that can't be used.
	CentreStatements() []overflow.Statement
	ReportCentre(instance, dataCentre string, statements []overflow.Statement) (invalid int)
	// ReportFailure records that a peer could not reach a server.
	ReportFailure(lost FailedServer)
	// Expire drops reports of peers that are older than a lifetime.
	Expire(loadLifetime time.Duration)
}

// Options are the settings and dependencies of a Service.
type Options struct {
	Instance   string
	DataCentre string
	// Regions is the region of each data centre.
	Regions map[string]string
	// Address is the address of both the UDP and the TCP listener. All instances use its port.
	Address   netip.AddrPort
	Seeds     []netip.Addr
	State     *discovery.State
	Directory *directory.Directory
	Follower  *discovery.Follower
	Ledger    Ledger
	// StreamVersions holds the records of streams of this instance and its peers.
	StreamVersions StreamVersions
	// SeveralLately reports whether a service had several software versions lately, also before this instance
	// started, or a route sent streams to several services; nil if that isn't known.
	SeveralLately func() bool
	// Poison holds what is known about requests that crash backend servers.
	Poison PoisonTable
	// Rollouts holds the orders to move services to other software versions; nil for none.
	Rollouts *rollouts.Manager
	// Decode parses a configuration document.
	Decode func(document []byte) (*discovery.Configuration, error)
	Logger zerolog.Logger
	// Guard contains the panics of messages and reads; nil for none.
	Guard *contain.Guard
}
