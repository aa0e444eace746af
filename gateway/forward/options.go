package forward

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

// Options are the settings and dependencies of a forwarder.
type Options struct {
	Protocol  Protocol
	State     *discovery.State
	Directory *directory.Directory
	ReloadableOptions
	// Place is the data centre and region of this instance.
	Place  placement.Place
	Policy placement.Policy
	// Group returns this instance's rank among those of its data centre, which share
	// their part of the bound on second sends, and the numbers of instances.
	Group func() peers.Group
	// OnUnreachable is called with each server that could not be reached; down is
	// set when it refused the connection.
	OnUnreachable func(server *directory.Server, down bool)
	// OnCutOff is called when the services change of which this instance reaches no server.
	OnCutOff func(cutOff peers.CutOff)
	// OnStreamBegun is called with the software version that began a stream.
	OnStreamBegun func(record streamversion.Record)
	// ArchiveStream is called with each new record of a stream, of this instance or of peers. LoadStreams
	// passes the records in the store to StreamVersions, and reports whether there are recent ones.
	ArchiveStream func(record streamversion.Record)
	LoadStreams   func(ctx context.Context) (recent bool, err error)
	// OtherVersion reports whether a service has, or had lately, another software version than the given one,
	// and whether that is known for the time before this instance started. VersionLeft reports whether a
	// version of a service has left lately.
	OtherVersion func(than streamversion.Origin) (other, known bool)
	VersionLeft  func(service string) bool
	// CatchUp adds the servers that the store lists now; nil for a list that is always current.
	CatchUp func() error
	// AskPeers asks peers for the record of a stream.
	AskPeers func(key streamversion.Key) StreamInquiry
	// AnnouncePoison is called when there are news for peers about requests that crash servers.
	AnnouncePoison func()
	// RelayTargets returns the instances that may reach servers of a service, the nearest first.
	RelayTargets func(service string) []peers.RelayTarget
	// Instance is the name of this instance, as peers get it. RelayPort is the port at which peers accept
	// requests, 0 if this instance hands none over.
	Instance  string
	RelayPort uint16
	// OnLeaving is called with each server that stated for the first time that it leaves.
	OnLeaving func(server *directory.Server)
	// DialServer opens connections to backend servers; nil for plain TCP.
	DialServer upstream.Dial
	// OnRejection is called with each server with a rejection limit that rejected a request.
	OnRejection func(server *directory.Server)
	// SharesAt returns the shares of this instance at servers, by server.
	SharesAt func(servers []*directory.Server) map[string]rejections.Share
	// Rollouts divides requests over software versions; nil for none.
	Rollouts *rollouts.Manager
	Logger   zerolog.Logger
	Metrics  metrics.Registry
}

// Times of forwarding.
const (
	// defaultTimeout is assumed when the client gives no timeout.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long before the client's deadline the instance answers
	// itself, so that its answer arrives before the client gives up.
	answerMargin = 30 * time.Millisecond
	// minSendTime is the remaining time that a request needs for another send: the
	// users' calls take 30 ms, and a connection and the answer some more.
	minSendTime = 40 * time.Millisecond
	// connectTimeout bounds the opening of a connection: a round trip between
	// regions takes 60 ms, and a lost SYN is retransmitted only after a second.
	connectTimeout = 350 * time.Millisecond
)
