package forward

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/internal/contain"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	protocol        Protocol
	state           *discovery.State
	directory       *directory.Directory
	selector        *selector
	pool            *upstream.Pool
	adopter         *adopter
	prompts         *promptFinder
	logger          zerolog.Logger
	meters          *meters
	versions        *streamVersions
	poison          *poisonGuard
	crashes         *crashDetector
	relays          *relays
	liveness        *livenessChecker
	watch           *loadWatch
	rollouts        *rollouts.Manager
	guard           *contain.Guard
	onLeaving       func(server *directory.Server)
	onRejection     func(server *directory.Server)
	onStreamBegun   func(record streamversion.Record)
	onCutOff        func(cutOff peers.CutOff)
	catchUpServers  func() error
	askPeers        func(key streamversion.Key) StreamInquiry
	loadStreams     func(ctx context.Context) (recent bool, err error)
	otherVersion    func(than streamversion.Origin) (other, known bool)
	versionLeft     func(service string) bool
	streamDurations streamDuration
	callDurations   callDurations
	admissions      *admissions
	// instance is the name of this instance.
	instance string
	// answers bounds the memory of all buffered answers.
	answers answerBudget
	// stop is nil until a planned stop begins.
	stop atomic.Pointer[plannedStop]
}

// New returns a forwarder with the given options.
func New(options Options) *Forwarder {
	f := &Forwarder{
		protocol:  options.Protocol,
		state:     options.State,
		directory: options.Directory,
		selector:  newSelector(options),
		pool:      upstream.NewPool(),
		logger:    options.Logger,
		instance:  options.Instance,
		meters:    newMeters(options.Metrics),
		versions:  newStreamVersions(options.ArchiveStream),
		rollouts:  options.Rollouts,
		onCutOff:  options.OnCutOff,
		onLeaving: options.OnLeaving, onRejection: options.OnRejection, onStreamBegun: options.OnStreamBegun, askPeers: options.AskPeers, catchUpServers: options.CatchUp, loadStreams: options.LoadStreams,
		otherVersion: options.OtherVersion, versionLeft: options.VersionLeft,
	}
	if options.DialServer != nil {
		f.pool = upstream.NewPoolBy(options.DialServer)
	}
	f.admissions = newAdmissions(f)
	f.selector.admissions = f.admissions
	f.adopter = &adopter{f: f, probing: make(map[string]bool)}
	f.poison = newPoisonGuard(options, f.meters)
	f.crashes = newCrashDetector(f)
	f.relays = newRelays(options)
	f.guard = contain.New(options.Logger, options.Metrics)
	f.liveness = newLivenessChecker(f)
	f.selector.onPeerFailure = func(server string, age time.Duration) {
		f.liveness.centres.failedAtPeer(server, age)
		f.crashes.recordFailure(server, time.Now().Add(-age))
	}
	f.watch = &loadWatch{f: f}
	f.prompts = &promptFinder{f: f, sweeps: make(map[string]*promptSweep)}
	f.adopter.addressReuse.Store(int64(options.AddressReuse))
	f.answers.limit.Store(options.AnswerBytes)
	return f
}

// service returns a service of the in-force configuration, or nil.
func (f *Forwarder) service(name string) *route.Service {
	if current := f.state.Current(); current != nil {
		return current.Table.Service(name)
	}
	return nil
}

// recordUnreachable records that a server could not be reached or that its stream
// stalled, and starts looking for its restarted process.
func (f *Forwarder) recordUnreachable(server *directory.Server, cause error) {
	f.crashes.recordFailure(server.ID, time.Now())
	f.selector.recordUnreachable(server, cause)
	f.adopter.startProbing(server)
}

// defaultLimits apply without a configuration and to limits that it leaves unset.
var defaultLimits = route.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Limits implements ingress.Handler.
func (f *Forwarder) Limits() route.Limits {
	current := f.state.Current()
	if current == nil {
		return defaultLimits
	}
	limits := current.Table.Limits
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultLimits.HeaderBytes
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultLimits.BodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultLimits.IdleTimeout
	}
	return limits
}

// Tick closes expired idle connections and drops records of removed servers.
func (f *Forwarder) Tick(now time.Time) {
	f.pool.Tick(now)
	f.selector.Tick()
	f.refreshLeaving()
	f.watch.tick(now)
	f.meters.set("servers.rate_limited", int64(f.selector.rateLimited()))
	f.meters.set("requests.quarantined", int64(len(f.Quarantines())))
}

// Reject implements ingress.Handler.
func (f *Forwarder) Reject(exchange *ingress.Exchange, cause *http1.ProtocolError) {
	exchange.CloseAfter()
	f.answer(exchange, "", localAnswer{status: cause.Status, code: fault.MessageMalformed, cause: cause})
}

// Overloaded implements ingress.Handler.
func (f *Forwarder) Overloaded(exchange *ingress.Exchange, cause error) {
	id := ""
	if request, err := f.protocol.ParseRequest(exchange.Head); err == nil {
		id = request.ID
	}
	f.answer(exchange, id, localAnswer{status: 503, code: fault.BodyMemoryFull, cause: cause, retryAfter: bodiesFullRetryAfter})
}

// Failed implements ingress.Handler.
func (f *Forwarder) Failed(exchange *ingress.Exchange) {
	id := ""
	f.guard.Run("request", func() {
		if request, err := f.protocol.ParseRequest(exchange.Head); err == nil {
			id = request.ID
		}
	})
	f.answer(exchange, id, localAnswer{status: 502, code: fault.Internal})
}

// Serve implements ingress.Handler.
func (f *Forwarder) Serve(ctx context.Context, exchange *ingress.Exchange) {
	f.serve(ctx, exchange, nil)
}

// serve serves a request of a client, or one that a peer handed over.
func (f *Forwarder) serve(ctx context.Context, exchange *ingress.Exchange, relayed *message.Relay) {
	request, err := f.protocol.ParseRequest(exchange.Head)
	if err != nil {
		var protocol *http1.ProtocolError
		if errors.As(err, &protocol) {
			f.Reject(exchange, protocol)
			return
		}
		f.answer(exchange, request.ID, localAnswer{status: 400, code: fault.MessageMalformed, cause: err})
		return
	}
	current := f.state.Current()
	if relayed == nil {
		current = f.awaitConfiguration(ctx, request.Timeout)
	}
	if current == nil {
		f.answer(exchange, request.ID, localAnswer{status: 503, code: fault.NoConfiguration, retryAfter: noConfigurationRetryAfter})
		return
	}
	j := &job{exchange: exchange, request: request, table: current.Table, relayed: relayed}
	j.route = j.table.Match(exchange.Head.Fields.Get("Host"), exchange.Head.Path())
	if j.route == nil {
		f.answer(exchange, request.ID, localAnswer{status: 404, code: fault.RouteUnknown, version: j.table.Version})
		return
	}
	account, allowed := j.table.Authorize(j.route, request.Key)
	if !allowed {
		f.answer(exchange, request.ID, localAnswer{status: 401, code: fault.KeyUnknown, version: j.table.Version})
		return
	}
	j.rank = j.route.RankOf(account)
	if account != nil {
		j.account = account.Name
	}
	j.run = runOf(j)
	if j.route.Kind == route.Stream {
		j.late = poison.Run{Request: poison.LateKey(j.run.Request, request.PromptKey)}
	}
	f.serveJob(ctx, j)
}

// serveJob serves a request whose route is known.
func (f *Forwarder) serveJob(ctx context.Context, j *job) {
	if f.rejectPoison(j) {
		return
	}
	timeout := defaultTimeout
	if j.request.Timeout > 0 {
		timeout = j.request.Timeout
	}
	if j.route.Timeout > 0 {
		timeout = min(timeout, j.route.Timeout)
	}
	j.deadline = j.exchange.Received.Add(timeout - answerMargin)
	j.service = j.chooseService()
	if j.origin = f.findOrigin(ctx, j); j.origin.source != "" {
		j.service = j.origin.Service
	}
	if j.origin.source != "" && !j.route.Offers(j.service) {
		f.reject(j, localAnswer{status: 503, code: fault.SoftwareVersionUnavailable, retryAfter: noServerRetryAfter})
		return
	}
	service := j.table.Service(j.service)
	if service == nil {
		f.reject(j, localAnswer{status: 503, code: fault.NoServer, retryAfter: noServerRetryAfter})
		return
	}
	if stop := f.stop.Load(); stop != nil && !stop.admits(time.Now(), j, f.usualTimes(j.service)) {
		f.reject(j, localAnswer{status: 503, code: fault.InstanceStopping, retryAfter: stoppingRetryAfter})
		return
	}
	if j.relayed == nil {
		f.selector.recordRequest(j.service)
	} else {
		j.failedServers = slices.Clone(j.relayed.FailedServers)
	}
	j.answers.budget = &f.answers
	defer j.answers.close()
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if j.route.Kind == route.Stream {
		f.serveStream(ctx, j, service)
		return
	}
	f.serveCall(ctx, j, service)
}
