package forward

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	// secondSendFraction is the fraction of the target latency after which an
	// idempotent call is sent to a second server while the first still runs it.
	secondSendFraction = 0.4
	// minCheckInterval bounds the time between two checks of the answers that have begun.
	minCheckInterval = 50 * time.Millisecond
	// maxNotRunSends bounds the attempts of a call that reached a server and certainly did not run.
	maxNotRunSends = 3
)

// callRun is one call with its attempts in flight.
type callRun struct {
	f       *Forwarder
	j       *job
	service *route.Service
	results chan callResult
	pending int
	// notRunAttempts counts the attempts that certainly did not run, unreachable those of them that opened no
	// connection.
	notRunAttempts int
	unreachable    int
	// relays counts the peers to which the call was handed.
	relays int
	// mayHaveRun is set when an attempt may have run the call.
	mayHaveRun bool
	// lastFailure is the latest failed attempt; failedAnswer is the latest
	// complete answer with a 5xx status, nil for none.
	lastFailure  callResult
	failedAnswer *callResult
}

// serveCall serves a request whose answer is sent as a whole, not streamed.
func (f *Forwarder) serveCall(ctx context.Context, j *job, service *route.Service) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if j.relayed != nil {
		j.sends = j.relayed.UsedAttempts
	}
	run := &callRun{f: f, j: j, service: service, results: make(chan callResult, j.route.Attempts+maxNotRunSends+maxRelays+1)}
	if !run.admit(ctx) {
		return
	}
	if !run.send(ctx) {
		f.reject(j, f.selector.noServerAnswer(service))
		return
	}
	interval := time.Duration(secondSendFraction * float64(j.route.TargetLatency))
	second := time.NewTimer(interval)
	defer second.Stop()
	checked := false
	for {
		select {
		case <-ctx.Done():
			run.cancelled(ctx)
			return
		case <-second.C:
			// Later checks send it again only if a server doesn't end the answer that it has begun.
			if !checked || j.unfinished.Load() > 0 {
				run.sendBesides(ctx)
			}
			checked = true
			second.Reset(max(interval, minCheckInterval))
		case result := <-run.results:
			if run.handleResult(ctx, result) {
				return
			}
		}
	}
}

// send sends the call to the best server that has not failed it. It returns
// false when too little time is left for another send, there is no server, or the call is quarantined since
// the last one.
func (r *callRun) send(ctx context.Context) bool {
	if r.j.sends > 0 && (r.j.remaining() < minSendTime || r.f.poison.check(r.j).Rejected) {
		return false
	}
	if reason := r.f.withoutServers(r.j, r.lastFailure.code); reason != "" {
		if r.relay(ctx, reason) {
			return true
		}
		if reason == relayCutOff || r.j.relayed != nil {
			return false
		}
	}
	server := r.chooseServer()
	if server == nil {
		return false
	}
	measured := r.f.rollouts.Begin(server, r.j.route.Name, false, r.j.sends == 0 && r.j.relayed == nil)
	r.j.failedServers = append(r.j.failedServers, server.ID)
	r.j.sends++
	r.pending++
	started := time.Now()
	r.f.requestSentEvent(r.j, server).Send()
	r.f.selector.callStarted(started, server)
	go func() {
		result := callResult{server: server, started: started, code: fault.Internal, err: errPanicked}
		r.f.guard.Run("attempt", func() { result = r.f.attemptCall(ctx, r.j, server, r.j.route.Kind == route.Idempotent) })
		result.started = started
		measured.End(evidenceOfCall(&result, ctx.Err()))
		if errors.Is(ctx.Err(), context.Canceled) {
			// The client disconnected, or another server answered first: only the
			// wait so far is known of this server's latency.
			r.f.selector.withLedger(func(ledger *placement.Ledger, now time.Time) {
				ledger.CallCancelled(now, started, server.ID)
			})
		} else {
			r.f.recordCall(&result)
			r.f.recordCallRun(r.j, &result)
		}
		r.results <- result
	}()
	return true
}

// leaveKey returns the key that decides whether the call leaves the data centre; a call that a peer handed over stays.
func (r *callRun) leaveKey() string {
	if r.j.relayed != nil {
		return ""
	}
	return r.j.request.ID
}

// sendBesides sends an idempotent call to another server while the attempts so far run.
func (r *callRun) sendBesides(ctx context.Context) {
	if r.j.route.Kind == route.Idempotent && r.j.sends < r.j.route.Attempts && r.f.selector.takeSecondSend(r.j.request.ID, r.j.service) {
		r.send(ctx)
	}
}

// handleResult processes an attempt's end and reports whether the call was answered.
func (r *callRun) handleResult(ctx context.Context, result callResult) bool {
	r.pending--
	if ctx.Err() != nil {
		return false
	}
	if result.hop != nil {
		return r.handleRelayed(ctx, &result)
	}
	retry := result.failedAnswer() && r.j.route.Kind == route.Idempotent
	if result.usable() && !retry {
		r.f.forwardAnswer(r.j, &result)
		return true
	}
	r.f.attemptFailedEvent(r.j, result.server, result.code, result.notRun, result.err).Dur("took_ms", time.Since(result.started)).Send()
	r.lastFailure = result
	if result.usable() {
		r.failedAnswer = &result
	}
	if result.notRun {
		r.notRunAttempts++
		if unsent(result.code) {
			r.unreachable++
		}
	} else {
		r.mayHaveRun = true
	}
	if r.maySendAgain(&result) && r.takeSecondSend(&result) && r.send(ctx) {
		return false
	}
	if r.pending > 0 {
		return false
	}
	r.fail()
	return true
}

// maySendAgain reports whether the call may be sent to another server.
func (r *callRun) maySendAgain(result *callResult) bool {
	if result.notRun {
		return r.notRunAttempts-r.unreachable <= maxNotRunSends && r.unreachable <= maxUnreachableSends
	}
	return r.j.route.Kind == route.Idempotent && r.j.sends-r.notRunAttempts < r.j.route.Attempts
}

// fail answers a call for which every attempt failed.
func (r *callRun) fail() {
	switch {
	case r.failedAnswer != nil:
		r.f.forwardAnswer(r.j, r.failedAnswer)
	case r.mayHaveRun:
		code := fault.UpstreamBroken
		if r.lastFailure.code == fault.AnswerMemoryFull {
			code = fault.AnswerMemoryFull
		}
		if r.lastFailure.hop != nil && r.lastFailure.code == fault.UpstreamTimeout {
			r.f.reject(r.j, localAnswer{status: 504, code: fault.UpstreamTimeout, cause: r.lastFailure.err})
			return
		}
		r.f.reject(r.j, localAnswer{status: 502, code: code, cause: r.lastFailure.err})
	default:
		r.f.reject(r.j, localAnswer{status: 503, code: r.lastFailure.code, cause: r.lastFailure.err, retryAfter: cmp.Or(r.lastFailure.retryAfter, busyRetryAfter)})
	}
}

// cancelled ends a call whose client disconnected or whose deadline has passed.
func (r *callRun) cancelled(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.f.reject(r.j, localAnswer{status: 504, code: fault.UpstreamTimeout})
		return
	}
	r.f.clientDisconnected(r.j)
}

// clientDisconnected ends the exchange of a client that disconnected.
func (f *Forwarder) clientDisconnected(j *job) {
	j.exchange.Abort()
	f.meters.count("requests.client_left")
	event.Log(f.logger, event.ClientDisconnected).Str("request", j.request.ID).Str("route", j.route.Name).
		Dur("after_ms", time.Since(j.exchange.Received)).Int("sends", j.sends).Send()
}

// appendAnswer returns the head of a server's answer as the client gets it, or the peer that handed the request over.
func (f *Forwarder) appendAnswer(j *job, server *directory.Server, response *http1.Response) []byte {
	head := f.protocol.AppendAnswer(make([]byte, 0, 512), response)
	if j.relayed == nil {
		return head
	}
	return f.protocol.AppendRelayAnswer(head, message.RelayAnswer{Server: server.ID, Version: server.SoftwareVersion})
}

// forwardAnswer forwards a backend server's answer to the client.
func (f *Forwarder) forwardAnswer(j *job, result *callResult) {
	if j.route.Kind != route.Stream {
		f.callDurations.observe(j.service, time.Since(j.exchange.Received))
	}
	err := j.exchange.Answer(f.appendAnswer(j, result.server, result.response), result.body)
	f.meters.served(j.route.Kind)
	f.meters.latency(j.route.Kind, time.Since(j.exchange.Received))
	event.Log(f.logger, event.RequestServed).Str("request", j.request.ID).Str("route", j.route.Name).Str("server", result.server.ID).
		Int("status", result.response.Status).Int("sends", j.sends).Uint64("version", j.table.Version).
		Dur("after_ms", time.Since(j.exchange.Received)).AnErr("write", err).Send()
}
