package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

const (
	// secondStart is the part of the target latency after which an idempotent
	// call is sent to a second server beside the first.
	secondStart = 0.4
	// unusedSends bounds the sends of a call to servers that certainly do not
	// run it.
	unusedSends = 3
)

// callRun is one call with its attempts under way.
type callRun struct {
	f       *Forwarder
	j       *job
	service *route.Service
	results chan callResult
	pending int
	// unused counts the attempts that certainly did not run.
	unused int
	// mayHaveRun is set when an attempt may have run the call.
	mayHaveRun bool
	// last is the newest failure, and failure the answer of a server that
	// failed.
	last    callResult
	failure *callResult
}

// serveCall serves a request with one whole answer.
func (f *Forwarder) serveCall(ctx context.Context, j *job, service *route.Service) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &callRun{f: f, j: j, service: service, results: make(chan callResult, j.route.Attempts+unusedSends+1)}
	if !run.start(ctx) {
		f.reject(j, ownAnswer{status: 503, code: fault.NoServer, retryAfter: noServerRetry})
		return
	}
	second := time.NewTimer(time.Duration(secondStart * float64(j.route.TargetLatency)))
	defer second.Stop()
	for {
		select {
		case <-ctx.Done():
			run.cancelled(ctx)
			return
		case <-second.C:
			if j.route.Kind == route.Idempotent && j.sends < j.route.Attempts && f.selector.secondSend(j.request.ID, j.service) {
				run.start(ctx)
			}
		case result := <-run.results:
			if run.take(ctx, result) {
				return
			}
		}
	}
}

// start sends the call to the best server that has not failed it, unless no
// time is left.
func (r *callRun) start(ctx context.Context) bool {
	if r.j.sends > 0 && r.j.remaining() < leastSend {
		return false
	}
	server := r.f.selector.forCall(r.service, r.j.hasFailed)
	if server == nil {
		return false
	}
	r.j.failed = append(r.j.failed, server.ID)
	r.j.sends++
	r.pending++
	started := time.Now()
	r.f.sentLine(r.j, server).Send()
	r.f.selector.update(func(ledger *placement.Ledger, _ time.Time) { ledger.CallStarted(started, server.ID) })
	go func() {
		result := r.f.attemptCall(ctx, r.j, server, r.j.route.Kind == route.Idempotent)
		result.started = started
		if errors.Is(ctx.Err(), context.Canceled) {
			// The client left, or another server answered first: the wait so far
			// is what is known of this one.
			r.f.selector.update(func(ledger *placement.Ledger, now time.Time) {
				ledger.CallCancelled(now, started, server.ID)
			})
		} else {
			r.f.noteCall(&result)
		}
		r.results <- result
	}()
	return true
}

// take handles the end of an attempt and reports whether the call was answered.
func (r *callRun) take(ctx context.Context, result callResult) bool {
	r.pending--
	if ctx.Err() != nil {
		return false
	}
	again := result.failedAnswer() && r.j.route.Kind == route.Idempotent
	if result.usable() && !again {
		r.f.pass(r.j, &result)
		return true
	}
	r.f.failedLine(r.j, result.server, result.code, result.notRun, result.err).Dur("took_ms", time.Since(result.started)).Send()
	r.last = result
	if result.usable() {
		r.failure = &result
	}
	if result.notRun {
		r.unused++
	} else {
		r.mayHaveRun = true
	}
	if r.another(&result) && r.f.selector.secondSend(r.j.request.ID, r.j.service) && r.start(ctx) {
		return false
	}
	if r.pending > 0 {
		return false
	}
	r.fail()
	return true
}

// another reports whether the call may be sent to another server.
func (r *callRun) another(result *callResult) bool {
	if result.notRun {
		return r.unused <= unusedSends
	}
	return r.j.route.Kind == route.Idempotent && r.j.sends-r.unused < r.j.route.Attempts
}

// fail answers a call that no server answered well.
func (r *callRun) fail() {
	switch {
	case r.failure != nil:
		r.f.pass(r.j, r.failure)
	case r.mayHaveRun:
		r.f.reject(r.j, ownAnswer{status: 502, code: fault.UpstreamBroken, cause: r.last.err})
	default:
		r.f.reject(r.j, ownAnswer{status: 503, code: r.last.code, cause: r.last.err, retryAfter: busyRetry})
	}
}

// cancelled ends a call whose client left or whose time is over.
func (r *callRun) cancelled(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.f.reject(r.j, ownAnswer{status: 504, code: fault.UpstreamTimeout})
		return
	}
	r.f.clientLeft(r.j)
}

// clientLeft ends the exchange of a client that is gone.
func (f *Forwarder) clientLeft(j *job) {
	j.exchange.Abort()
	f.meters.count("requests.client_left")
	event.Log(f.logger, event.ClientDisconnected).Str("request", j.request.ID).Str("route", j.route.Name).
		Dur("after_ms", time.Since(j.exchange.Received)).Int("sends", j.sends).Send()
}

// pass sends a backend server's answer to the client.
func (f *Forwarder) pass(j *job, result *callResult) {
	err := j.exchange.Answer(f.protocol.AppendAnswer(make([]byte, 0, 512), result.response), result.body)
	f.meters.served(j.route.Kind)
	f.meters.latency(j.route.Kind, time.Since(j.exchange.Received))
	event.Log(f.logger, event.RequestServed).Str("request", j.request.ID).Str("route", j.route.Name).Str("server", result.server.ID).
		Int("status", result.response.Status).Int("sends", j.sends).Uint64("version", j.table.Version).
		Dur("after_ms", time.Since(j.exchange.Received)).AnErr("write", err).Send()
}
