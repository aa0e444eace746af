package peers

import (
	"net/netip"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/decision/pace"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
)

// Digest is the message that instances send each other: the sender's state and
// its view of the backend servers.
type Digest struct {
	Instance   string
	DataCentre string
	// Incarnation is a random number that identifies the sender's process. It is not the start
	// time, because a clock may step back and so doesn't order processes.
	Incarnation uint64
	// Sequence increases with each digest of one process.
	Sequence uint64
	// Version is the version of the in-force configuration. Revision is the highest store
	// revision that the sender has seen in the entries of backend servers.
	Version  uint64
	Revision revision.Revision
	// Servers is the fingerprint of the sender's list of backend servers, AsOf the store's revision as of which the list is
	// complete: 0 when it never was, and from senders of older builds.
	Servers uint64
	AsOf    revision.Revision
	// Relay is set while the sender follows the object store and the store answers.
	Relay bool
	// StoreUnavailable is set while the sender follows the store and the store doesn't answer.
	StoreUnavailable bool
	// Leaving is set while the sender stops.
	Leaving bool
	// Probe asks the receiver for a digest in return.
	Probe bool
	// NamesQuestion is set by senders whose answers to WantedStreams have AnswerTo.
	NamesQuestion bool
	// KeysRequired is set when clients' requests need a key at the sender, also by versions without accounts.
	KeysRequired bool
	// AnswerTo identifies the receiver's digest that this one answers: the sum of its Incarnation and Sequence, which wraps
	// around; 0 for none.
	AnswerTo uint64
	// HasLoads says that Loads is complete for the receiver: a server without an
	// entry has no load from the sender. Without HasLoads, receivers ignore Loads.
	HasLoads bool
	Loads    []ServerLoad
	// CutOff states of which services the sender reaches no backend server. It is in all digests.
	CutOff CutOff
	// FailedServers are servers that the sender could not reach.
	FailedServers []FailedServer
	// LeavingServers are servers that stated in an answer to the sender that they leave.
	LeavingServers []LeavingServer
	// Usages are the sender's recent second sends for each service. Only
	// instances of the same data centre receive them.
	Usages []ServiceUsage
	// Rates are the sender's estimates of how fast generations proceed. Only some digests to
	// instances of the same data centre hold them.
	Rates []ServiceRate
	// Speeds are what the sender observed last about the speed of servers. Only digests to instances of the same data
	// centre hold them.
	Speeds []load.Share
	// Centres are the sender's statements about services in its data centre. Only some digests to other data centres hold
	// them.
	Centres []overflow.Statement
	// StreamRecords state which software versions began streams at the sender, or those that the
	// receiver has asked for. WantedStreams are the keys of records that the sender asks for.
	StreamRecords []streamversion.Record
	WantedStreams []streamversion.Key
	// Poison are news about requests that crash backend servers.
	Poison PoisonNews
	// RejectionLimits are limits that servers stated to the sender, Rejections the latest requests that servers with a limit
	// rejected.
	RejectionLimits []rejections.ServiceLimit
	Rejections      []RejectionReport
	// RequestRates are the request rates of servers, as far as the sender knows.
	RequestRates []RequestRateReport
	// Waiting are the sender's requests that wait for room, for instances of the same data centre.
	Waiting []ServiceWaiting
	// Rollouts are orders to move services to other software versions, with what the sender counted.
	Rollouts []rollouts.News
	// Members are addresses of peers that the sender knows.
	Members []netip.Addr
}

// ServerLoad is the load that one instance puts on a backend server.
type ServerLoad struct {
	Server string
	Load   placement.Load
}

// ServiceUsage counts the requests of a service that an instance recently sent to
// a second server.
type ServiceUsage struct {
	Service string
	Usage   secondsends.Usage
}

// ServiceRate is an instance's estimate of how fast the generations of a service proceed.
type ServiceRate struct {
	Service string
	Report  pace.Report
}

// LeavingServer identifies the process of a backend server that leaves.
type LeavingServer struct {
	Server  string
	Address string
	// Incarnation is the server's start in Unix milliseconds, 0 when unknown.
	Incarnation int64
}

// FailedServer is a backend server that an instance could not reach.
type FailedServer struct {
	Server     string
	DataCentre string
	// Age is the time since the failure was detected.
	Age time.Duration
	// Down is set when no process listened at the server's address.
	Down bool
}
