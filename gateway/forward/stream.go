package forward

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/pace"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// streamRun is one streamed answer with its consecutive attempts.
type streamRun struct {
	f       *Forwarder
	j       *job
	service *route.Service
	events  eventReader
	buffer  []byte
	// size is the generation's size in tokens.
	size placement.Generation
	// cacheCopyServer is the server with the KV cache copy from which the next
	// attempt resumes; nil for none.
	cacheCopyServer *directory.Server
	// reconnectServer is the server whose connection broke and to which the next
	// attempt goes; nil for none. reconnected holds, by id, how often the servers
	// were tried again in this way.
	reconnectServer *directory.Server
	reconnected     map[string]int
	// successor is the attempt that has taken the stream over from a silent server; nil for none.
	successor *streamAttempt
	// binding is the software version at which the stream continues.
	binding versionBinding
	// deliveredBy is the id of the server that delivered the last event.
	deliveredBy string
	// recordedAt is when the software version of the stream was last recorded.
	recordedAt time.Time
	// mayHaveRunAt holds the ids of the servers that may have run the request;
	// notRunAttempts counts the attempts that certainly did not run.
	mayHaveRunAt    map[string]bool
	notRunAttempts  int
	firstEventAt    time.Time
	deliveredEvents int
	resumes         int
	// fruitlessAttempts counts the latest attempts in a row that may have run and delivered no event.
	fruitlessAttempts int
	// unreachable counts the servers that could not be reached.
	unreachable int
	lastResult  streamResult
	// relays counts the peers in a row to which the stream was handed, ranAtPeers the servers beyond one for
	// each peer that may have run the request there.
	relays     int
	ranAtPeers int
	// unboundHere is set when only a peer may bind the stream to its software version.
	unboundHere bool
	// lastRunAt is the id of the server that got the stream last and did not reject it, from here or from a peer; empty for
	// none.
	lastRunAt string
	// slow records how the client reads the stream.
	slow slowReader
	// granted is the room that is kept for the first attempt; nil for none.
	granted *grant
	// relayRetryAfter is the time that the last peer gave which did not run the request; 0 for none.
	relayRetryAfter time.Duration
}

// maxNotRunStreamSends bounds the attempts of a stream that certainly did not run.
const maxNotRunStreamSends = 6

// maxUnreachableSends bounds the connection attempts to unreachable servers for
// one request. It exceeds the number of servers in a data centre of the users.
const maxUnreachableSends = 40

// streamResult is the outcome of one attempt of a stream.
type streamResult struct {
	server *directory.Server
	// complete is set when the stream reached its end.
	complete bool
	// finalAnswer is the server's answer when it is not a stream but can be
	// forwarded; nil otherwise.
	finalAnswer *callResult
	notRun      bool
	// wrongServer is set when the address belongs to another server now.
	// answeredBy is that server's id, empty when it was not given.
	wrongServer bool
	answeredBy  string
	code        fault.Code
	err         error
}

// defaultPromptTokens and defaultOutputTokens are the sizes in tokens that are
// assumed for generations that do not state theirs.
const (
	defaultPromptTokens = 1000
	defaultOutputTokens = 500
)

// serveStream serves a request whose answer is a stream of events.
func (f *Forwarder) serveStream(ctx context.Context, j *job, service *route.Service) {
	run := &streamRun{f: f, j: j, service: service, reconnected: make(map[string]int), mayHaveRunAt: make(map[string]bool)}
	run.size = placement.Generation{PromptTokens: j.request.PromptTokens, MemoryTokens: j.request.PromptTokens + j.request.OutputTokens}
	if run.size.PromptTokens == 0 {
		run.size = placement.Generation{PromptTokens: defaultPromptTokens, MemoryTokens: defaultPromptTokens + defaultOutputTokens}
	}
	run.size.PromptKey = j.request.PromptKey
	run.events.position, run.events.positionKnown = j.request.Position, j.request.Position > 0
	if !run.canEndInTime() {
		f.reject(j, localAnswer{status: 503, code: fault.TooLittleTime, retryAfter: tooLittleTimeRetryAfter})
		return
	}
	run.unboundHere = run.leavesBinding()
	if !run.unboundHere && !run.bindResumed(ctx) {
		f.reject(j, localAnswer{status: 503, code: fault.SoftwareVersionUnknown, retryAfter: max(noServerRetryAfter, f.untilListTrusted())})
		return
	}
	run.reconnectServer = run.relayedRun()
	j.exchange.EndBy(j.deadline.Add(endMargin))
	run.findPrompt(ctx)
	if !run.admit(ctx) {
		return
	}
	defer run.releaseGranted()
	defer run.dropSuccessor(ctx)
	for {
		delivered := run.deliveredEvents
		result, found := run.attempt(ctx)
		if !found {
			run.noServer(result)
			return
		}
		if ctx.Err() != nil && !result.complete {
			run.cancelled(ctx)
			return
		}
		if run.finish(&result) {
			return
		}
		if errors.Is(result.err, errClientWrite) {
			run.abandonSlow(&result)
			return
		}
		run.lastResult = result
		if result.notRun && run.lastRunAt == result.server.ID {
			run.lastRunAt = ""
		}
		if !result.notRun {
			run.mayHaveRunAt[result.server.ID] = true
			run.countFruitless(delivered)
		}
		if reason := run.prepareNextAttempt(&result); reason != "" {
			run.fail(reason)
			return
		}
	}
}

// dropSuccessor ends an attempt that has taken the stream over when the client left at that moment.
func (r *streamRun) dropSuccessor(ctx context.Context) {
	if r.successor != nil {
		r.successor.end(ctx, streamResult{code: fault.UpstreamBroken, err: ctx.Err()})
	}
}

// findPrompt looks for the engine that keeps the prompt of a stream which the client resumes, or
// of one that can end in time only if some engine keeps it.
func (r *streamRun) findPrompt(ctx context.Context) {
	if r.size.PromptKey == "" || r.service.Engine == nil || r.unboundHere || r.f.relays.enabled() && r.f.selector.cutOff(r.j.service) {
		return
	}
	if r.j.request.Position == 0 && r.fits(r.size.PromptTokens) {
		return
	}
	if location := r.f.prompts.find(ctx, r.service, r.size.PromptKey, r.binding); location.server != nil {
		r.size.CachedAt, r.size.CachedTokens = location.server.ID, min(location.tokens, r.size.PromptTokens)
	}
}

// canEndInTime reports whether the remaining tokens may arrive in the remaining time.
func (r *streamRun) canEndInTime() bool { return r.fits(0) }

// fits reports whether the remaining tokens may arrive in the remaining time after a number of
// prompt tokens was read.
func (r *streamRun) fits(promptTokens int) bool {
	return r.f.selector.minTimeToEnd(r.j.service, promptTokens, r.j.request.OutputTokens, r.events.position) <= r.j.remaining()
}

// observeGeneration adds a generation that ran without an interruption to the
// rate estimate of its service.
func (r *streamRun) observeGeneration() {
	if r.resumes > 0 || r.j.request.Position > 0 {
		return
	}
	r.f.selector.observeGeneration(r.j.service, pace.CompletedGeneration{
		OutputTokens: r.j.request.OutputTokens, Events: r.deliveredEvents, Duration: time.Since(r.firstEventAt),
		PromptTokens: r.j.request.PromptTokens, ReadTime: r.firstEventAt.Sub(r.j.exchange.Received),
	})
}

// finish ends the exchange when the attempt completed the stream or brought
// another answer that is forwarded. It reports whether it did.
func (r *streamRun) finish(result *streamResult) bool {
	retry := result.finalAnswer != nil && result.finalAnswer.failedAnswer() && result.finalAnswer.hop == nil && r.j.route.Resumable && r.usedAttempts()+1 < r.j.route.Attempts
	switch {
	case result.complete:
		err := r.j.exchange.End()
		r.f.streamDurations.observe(time.Since(r.j.exchange.Received))
		r.observeGeneration()
		r.f.meters.served(r.j.route.Kind)
		event.Log(r.f.logger, event.RequestServed).Str("request", r.j.request.ID).Str("route", r.j.route.Name).
			Str("server", result.server.ID).Int("sends", r.j.sends).Int("resumes", r.resumes).Int("events", r.deliveredEvents).
			Uint64("version", r.j.table.Version).Dur("first_event_ms", r.firstEventAt.Sub(r.j.exchange.Received)).
			Dur("after_ms", time.Since(r.j.exchange.Received)).AnErr("write", err).Send()
		return true
	case result.finalAnswer != nil && !retry:
		r.f.forwardAnswer(r.j, result.finalAnswer)
		return true
	}
	return false
}

// prepareNextAttempt updates the counters and the failed servers for another attempt.
// It returns why the stream does not continue with one, empty when it does.
func (r *streamRun) prepareNextAttempt(result *streamResult) endReason {
	if r.successor == nil {
		if reason := r.takeAttempt(result); reason != "" {
			return reason
		}
	}
	if r.deliveredEvents > 0 || r.events.positionKnown {
		r.resumes++
	}
	if result.server != nil && r.reconnectServer == nil {
		r.j.failedServers = append(r.j.failedServers, result.server.ID)
	}
	return ""
}

// countFruitless counts an attempt that may have run and before which a number of events was delivered.
func (r *streamRun) countFruitless(delivered int) {
	r.fruitlessAttempts++
	if r.deliveredEvents > delivered {
		r.fruitlessAttempts = 0
	}
}

// takeAttempt counts another attempt, or returns why there is none.
func (r *streamRun) takeAttempt(result *streamResult) endReason {
	if r.j.remaining() < minSendTime || !r.canEndInTime() {
		return endTooLittleTime
	}
	if !result.notRun && !r.j.route.Resumable {
		return endNotResumable
	}
	if r.usedAttempts() >= r.j.route.Attempts && r.reconnectServer == nil {
		return endAttempts
	}
	if r.fruitlessAttempts > r.j.route.Attempts {
		return endAttempts
	}
	if r.f.poison.check(r.j).Rejected {
		return endQuarantined
	}
	if unsent(result.code) {
		// Nothing was sent, so that this takes no second send: the remaining time
		// and maxUnreachableSends bound the search for a server.
		r.unreachable++
		r.j.sends--
		if r.unreachable > maxUnreachableSends {
			return endUnreachable
		}
	} else if r.notRunExceeded(result) {
		return endNotRun
	} else if !r.f.selector.takeSecondSend(r.j.request.ID, r.j.service) {
		return endSecondSends
	}
	return ""
}

// notRunExceeded counts attempts that did not run and reports whether these are too many.
func (r *streamRun) notRunExceeded(result *streamResult) bool {
	if result.notRun {
		r.notRunAttempts++
	}
	return r.notRunAttempts > maxNotRunStreamSends
}

// maxReconnects is the maximum number of connections to a server in place of one that broke, while it has answered on
// none of them. A server that is only silent still runs the stream of the first one.
const maxReconnects = 3

// allowReconnect makes the next attempt go to the server whose connection broke: a
// broken connection does not mean that the server failed, and the server still has the
// prompt in its cache. It does so once for each server that answers.
func (r *streamRun) allowReconnect(a *streamAttempt) {
	server := a.server
	listed := r.resumableAt(r.f.directory.Snapshot().Find(server.ID))
	limit := 1
	if a.reconnecting && a.response == nil {
		limit = maxReconnects
	}
	if r.reconnected[server.ID] >= limit || !r.j.route.Resumable || listed == nil || !listed.SameProcess(server) {
		return
	}
	r.reconnected[server.ID]++
	r.reconnectServer = server
}

// resumableAt returns the server if it takes streams that resume, else nil. An address at which
// a copy was kept may belong to another service by now.
func (r *streamRun) resumableAt(server *directory.Server) *directory.Server {
	if server == nil || server.Service != r.service.Name || !server.AcceptsResumption(time.Now()) || r.f.selector.refusing(server) > 0 || r.f.rollouts.Stopped(server) {
		return nil
	}
	return server
}

// continuableAt is resumableAt for a server that has not run the stream: it must also have the
// software version that began it.
func (r *streamRun) continuableAt(server *directory.Server) *directory.Server {
	if server = r.resumableAt(server); server == nil || !r.binding.admits(server) {
		return nil
	}
	return server
}

// fail ends a stream for which no further attempt is made, for the given reason.
func (r *streamRun) fail(reason endReason) {
	switch {
	case r.j.exchange.Started():
		r.j.exchange.Abort()
		r.f.meters.count("requests.broken")
		r.f.meters.count("requests.broken." + string(reason))
		event.Log(r.f.logger, event.RequestBroken).Str("request", r.j.request.ID).Str("route", r.j.route.Name).
			Str("reason", string(reason)).Str("code", string(r.lastResult.code)).Uint64("position", r.events.position).Int("sends", r.j.sends).
			Dur("after_ms", time.Since(r.j.exchange.Received)).AnErr("cause", r.lastResult.err).Send()
	case r.lastResult.finalAnswer != nil:
		r.f.forwardAnswer(r.j, r.lastResult.finalAnswer)
	case len(r.mayHaveRunAt) > 0:
		status := 502
		if errors.Is(r.lastResult.err, errRelayTimeout) {
			status = 504
		}
		r.f.reject(r.j, localAnswer{status: status, code: r.lastResult.code, cause: r.lastResult.err})
	default:
		r.f.reject(r.j, localAnswer{status: 503, code: r.lastResult.code, cause: r.lastResult.err, retryAfter: cmp.Or(r.relayRetryAfter, r.f.selector.untilServer(r.j.service))})
	}
}

// noServer ends a stream for which no server is available, or none soon enough.
func (r *streamRun) noServer(result streamResult) {
	if r.j.sends == 0 {
		retryAfter := tooLittleTimeRetryAfter
		if result.code != fault.TooLittleTime {
			retryAfter = r.f.selector.noServerAnswer(r.service).retryAfter
		}
		r.f.reject(r.j, localAnswer{status: 503, code: result.code, retryAfter: retryAfter})
		return
	}
	if r.lastResult.code == "" {
		r.lastResult = result
	}
	if result.code == fault.TooLittleTime {
		r.fail(endTooLittleTime)
		return
	}
	r.fail(endNoServer)
}

// cancelled ends a stream whose client disconnected or whose deadline has passed.
func (r *streamRun) cancelled(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.f.clientDisconnected(r.j)
		return
	}
	if r.j.exchange.Started() {
		r.lastResult = streamResult{code: fault.UpstreamTimeout, err: ctx.Err()}
		r.fail(endDeadline)
		return
	}
	r.f.reject(r.j, localAnswer{status: 504, code: fault.UpstreamTimeout})
}

// begin sends the head of the stream to the client unless it was already sent.
func (r *streamRun) begin(server *directory.Server, response *http1.Response) error {
	if r.j.exchange.Started() {
		return nil
	}
	return r.j.exchange.Begin(r.f.appendAnswer(r.j, server, response))
}
