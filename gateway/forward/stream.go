package forward

import (
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

// streamRun is one streamed answer with its attempts, one after another.
type streamRun struct {
	f       *Forwarder
	j       *job
	service *route.Service
	events  eventReader
	buffer  []byte
	// size is the generation's size in tokens.
	size placement.Generation
	// copyAt holds the copy of the generation's KV cache that the next attempt
	// goes on from; nil for none.
	copyAt *directory.Server
	// sameAgain is the server whose connection broke and that is tried again
	// first; nil for none. retried names the servers that had that chance.
	sameAgain *directory.Server
	retried   map[string]bool
	// ranAt names the servers that may have run the request, unused counts the
	// attempts that certainly did not.
	ranAt      map[string]bool
	unused     int
	firstEvent time.Time
	delivered  int
	resumes    int
	// unreached counts the servers that could not be reached.
	unreached int
	last      streamResult
}

// unusedStreamSends bounds the sends of a stream to servers that do not run it.
const unusedStreamSends = 6

// unreachedLimit bounds the servers that are tried in vain: more than a data
// centre of the users has.
const unreachedLimit = 40

// streamResult is how one attempt of a stream ended.
type streamResult struct {
	server *directory.Server
	// complete is set when the stream reached its end.
	complete bool
	// answered is set when the server's answer is no stream and is passed on.
	answered *callResult
	notRun   bool
	// wrongServer is set when the address belongs to another server now, which
	// is answeredBy if it said so.
	wrongServer bool
	answeredBy  string
	code        fault.Code
	err         error
}

// defaultPrompt and defaultOutput are assumed, in tokens, for generations that
// do not state their size.
const (
	defaultPrompt = 1000
	defaultOutput = 500
)

// serveStream serves a request whose answer is a stream of events.
func (f *Forwarder) serveStream(ctx context.Context, j *job, service *route.Service) {
	run := &streamRun{f: f, j: j, service: service, retried: make(map[string]bool), ranAt: make(map[string]bool)}
	run.size = placement.Generation{PromptTokens: j.request.PromptTokens, MemoryTokens: j.request.PromptTokens + j.request.OutputTokens}
	if run.size.PromptTokens == 0 {
		run.size = placement.Generation{PromptTokens: defaultPrompt, MemoryTokens: defaultPrompt + defaultOutput}
	}
	run.size.PromptKey = j.request.PromptKey
	run.events.position, run.events.checked = j.request.Position, j.request.Position > 0
	if !run.canEnd() {
		f.reject(j, ownAnswer{status: 503, code: fault.TooLittleTime, retryAfter: longerRetry})
		return
	}
	for {
		result, found := run.attempt(ctx)
		if !found {
			run.noServer(result)
			return
		}
		if ctx.Err() != nil && !result.complete {
			run.cancelled(ctx)
			return
		}
		if run.finished(&result) {
			return
		}
		run.last = result
		if !result.notRun {
			run.ranAt[result.server.ID] = true
		}
		if !run.another(&result) {
			run.fail()
			return
		}
	}
}

// canEnd reports whether the rest of the generation may come in the time that is
// left.
func (r *streamRun) canEnd() bool {
	return r.f.selector.leastTime(r.j.service, r.j.request.OutputTokens, r.events.position) <= r.j.remaining()
}

// learnPace adds a generation that ran without an interruption to what is known
// of its service.
func (r *streamRun) learnPace() {
	if r.resumes > 0 || r.j.request.Position > 0 {
		return
	}
	r.f.selector.learnPace(r.j.service, pace.CompletedGeneration{
		OutputTokens: r.j.request.OutputTokens, Events: r.delivered, Duration: time.Since(r.firstEvent),
	})
}

// finished ends the exchange when the attempt brought its end.
func (r *streamRun) finished(result *streamResult) bool {
	again := result.answered != nil && result.answered.failedAnswer() && r.j.route.Resumable && len(r.ranAt)+1 < r.j.route.Attempts
	switch {
	case result.complete:
		err := r.j.exchange.End()
		r.f.streams.observe(time.Since(r.j.exchange.Received))
		r.learnPace()
		r.f.meters.served(r.j.route.Kind)
		event.Log(r.f.logger, event.RequestServed).Str("request", r.j.request.ID).Str("route", r.j.route.Name).
			Str("server", result.server.ID).Int("sends", r.j.sends).Int("resumes", r.resumes).Int("events", r.delivered).
			Uint64("version", r.j.table.Version).Dur("first_event_ms", r.firstEvent.Sub(r.j.exchange.Received)).
			Dur("after_ms", time.Since(r.j.exchange.Received)).AnErr("write", err).Send()
		return true
	case result.answered != nil && !again:
		r.f.pass(r.j, result.answered)
		return true
	}
	return false
}

// another reports whether the stream goes on with another attempt.
func (r *streamRun) another(result *streamResult) bool {
	if r.j.remaining() < leastSend || !r.canEnd() {
		return false
	}
	if !result.notRun && !r.j.route.Resumable {
		return false
	}
	if len(r.ranAt) >= r.j.route.Attempts && r.sameAgain == nil {
		return false
	}
	if result.code == fault.UpstreamUnreachable {
		// Nothing was sent: only time bounds the search for a server.
		r.unreached++
		r.j.sends--
		if r.unreached > unreachedLimit {
			return false
		}
	} else if r.unusedUp(result) || !r.f.selector.secondSend(r.j.request.ID, r.j.service) {
		return false
	}
	if r.delivered > 0 || r.events.checked {
		r.resumes++
	}
	if result.server != nil && r.sameAgain == nil {
		r.j.failed = append(r.j.failed, result.server.ID)
	}
	return true
}

// unusedUp counts an attempt that did not run and reports whether there were too
// many.
func (r *streamRun) unusedUp(result *streamResult) bool {
	if result.notRun {
		r.unused++
	}
	return r.unused > unusedStreamSends
}

// retry lets the next attempt go to a server whose connection broke, once: the
// prompt is in its cache. Connections break without their servers.
func (r *streamRun) retry(server *directory.Server) {
	listed := r.goesOnAt(r.f.directory.Snapshot().Find(server.ID))
	if r.retried[server.ID] || !r.j.route.Resumable || listed == nil || !listed.SameProcess(server) {
		return
	}
	r.retried[server.ID] = true
	r.sameAgain = server
}

// goesOnAt returns the server if the stream may go on there, else nil.
func (r *streamRun) goesOnAt(server *directory.Server) *directory.Server {
	if server == nil || !server.AcceptsResumption(time.Now()) {
		return nil
	}
	return server
}

// fail ends a stream that can't go on.
func (r *streamRun) fail() {
	switch {
	case r.j.exchange.Started():
		r.j.exchange.Abort()
		r.f.meters.count("requests.broken")
		event.Log(r.f.logger, event.RequestBroken).Str("request", r.j.request.ID).Str("route", r.j.route.Name).
			Str("code", string(r.last.code)).Uint64("position", r.events.position).Int("sends", r.j.sends).
			Dur("after_ms", time.Since(r.j.exchange.Received)).AnErr("cause", r.last.err).Send()
	case r.last.answered != nil:
		r.f.pass(r.j, r.last.answered)
	case len(r.ranAt) > 0:
		r.f.reject(r.j, ownAnswer{status: 502, code: r.last.code, cause: r.last.err})
	default:
		r.f.reject(r.j, ownAnswer{status: 503, code: r.last.code, cause: r.last.err, retryAfter: noServerRetry})
	}
}

// noServer ends a stream for which no server can be chosen.
func (r *streamRun) noServer(result streamResult) {
	if r.j.sends == 0 {
		r.f.reject(r.j, ownAnswer{status: 503, code: fault.NoServer, retryAfter: noServerRetry})
		return
	}
	if r.last.code == "" {
		r.last = result
	}
	r.fail()
}

// cancelled ends a stream whose client left or whose time is over.
func (r *streamRun) cancelled(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.f.clientLeft(r.j)
		return
	}
	if r.j.exchange.Started() {
		r.last = streamResult{code: fault.UpstreamTimeout, err: ctx.Err()}
		r.fail()
		return
	}
	r.f.reject(r.j, ownAnswer{status: 504, code: fault.UpstreamTimeout})
}

// begin sends the head of the stream to the client, once.
func (r *streamRun) begin(response *http1.Response) error {
	if r.j.exchange.Started() {
		return nil
	}
	return r.j.exchange.Begin(r.f.protocol.AppendAnswer(make([]byte, 0, 512), response))
}
