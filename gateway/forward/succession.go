package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

// successionTimeout is how long a silent server keeps its request beside a successor that has not
// rejected it. Servers that have no room reject at once; the others may begin to run it. The silent one
// has to learn of the closing of its connection within the 400 ms for which two servers may run a request.
const successionTimeout = 250 * time.Millisecond

// leave reports whether another server has taken the stream of a silent one over. Otherwise the
// silent server is waited for until its connection fails or the request's deadline passes: it
// may continue, and nothing else completes the answer.
func (a *streamAttempt) leave(ctx context.Context, cause error, evidence silenceEvidence) bool {
	to, reason := a.chooseSuccessor()
	if reason != "" {
		a.await(cause, reason, evidence)
		return false
	}
	r := a.run
	next := r.newAttempt(to)
	failure := next.takeOver(ctx)
	if failure == nil {
		r.successor = next
		event.Log(r.f.logger, event.SilentServerLeft).Str("request", r.j.request.ID).Str("server", a.server.ID).Str("to", to.server.ID).
			Str("evidence", string(evidence)).Bool("from_copy", to.fromCopy).Uint64("position", r.events.position).
			Dur("silent_ms", time.Since(a.receivedAt)).Dur("overlap_ms", time.Since(next.sentAt)).Send()
		return true
	}
	result := next.end(ctx, *failure)
	r.reconnectServer, r.lastRunAt = nil, a.server.ID // the stream stays where it is
	r.j.failedServers = append(r.j.failedServers, to.server.ID)
	if !result.notRun {
		r.mayHaveRunAt[to.server.ID] = true
	}
	if ctx.Err() == nil {
		a.await(cause, endNotRun, evidence)
	}
	return false
}

// await logs that a silent server is waited for, and avoids it for other requests while it is silent.
func (a *streamAttempt) await(cause error, reason endReason, evidence silenceEvidence) {
	if a.waiting {
		a.run.f.selector.withLedger(func(ledger *placement.Ledger, now time.Time) {
			ledger.Unreachable(now, a.server.ID, a.server.DataCentre, false)
		})
		return
	}
	a.waiting = true
	a.run.f.recordUnreachable(a.server, cause)
	event.Log(a.run.f.logger, event.SilentServerAwaited).Str("request", a.run.j.request.ID).Str("server", a.server.ID).
		Str("reason", string(reason)).Str("evidence", string(evidence)).Uint64("position", a.run.events.position).Dur("silent_ms", time.Since(a.receivedAt)).Send()
}

// takeOver sends the request and waits until the server begins to answer, or has not rejected it for
// successionTimeout. It returns the result of an attempt that failed, else nil.
func (a *streamAttempt) takeOver(ctx context.Context) *streamResult {
	if failure := a.start(ctx); failure != nil {
		return failure
	}
	if err := a.conn.SetReadDeadline(time.Now().Add(successionTimeout)); err != nil {
		return &streamResult{code: failureCode(err), err: err}
	}
	response, err := a.conn.ReadHead(a.run.j.exchange.Head.Method)
	if upstream.IsReadTimeout(err) {
		return nil
	}
	if err != nil {
		return &streamResult{code: failureCode(err), err: err}
	}
	return a.check(response)
}

// chooseSuccessor returns the server that is to take the stream of a silent one over, after taking a
// second send for it, or the reason why there is none.
func (a *streamAttempt) chooseSuccessor() (destination, endReason) {
	r := a.run
	ranElsewhere := r.usedAttempts()
	if r.mayHaveRunAt[a.server.ID] {
		ranElsewhere--
	}
	switch {
	case r.j.remaining() < minSendTime || !r.canEndInTime():
		return destination{}, endTooLittleTime
	case !r.j.route.Resumable:
		return destination{}, endNotResumable
	case ranElsewhere+1 >= r.j.route.Attempts:
		return destination{}, endAttempts
	case r.f.poison.check(r.j).Rejected:
		return destination{}, endQuarantined
	}
	to := destination{server: a.copyHolder(), fromCopy: true}
	if r.f.relays.enabled() && r.f.selector.cutOff(r.j.service) {
		if to = r.chooseRelay(relayCutOff); to.server == nil {
			return destination{}, endNoServer
		}
	} else if to.server == nil || a.unfit(to.server) || !r.f.selector.takesAnother(to.server) {
		chosen, failure := r.chooseDestination(func(id string) bool { return id == a.server.ID || r.j.hasFailed(id) })
		if errors.Is(failure.err, errTooLate) {
			return destination{}, endTooLittleTime
		}
		if chosen.server == nil || a.unfit(chosen.server) {
			return destination{}, endNoServer
		}
		to = chosen
	}
	if !r.f.selector.takeSecondSend(r.j.request.ID, r.j.service) {
		if to.hop != nil {
			to.hop.end()
		}
		return destination{}, endSecondSends
	}
	return to, ""
}

// unfit reports whether a server can't take the stream over: it is the silent one, has failed the
// stream, or is avoided, as one is that is silent as well. After maxSilence an avoided one will do.
func (a *streamAttempt) unfit(server *directory.Server) bool {
	if server.ID == a.server.ID || a.run.j.hasFailed(server.ID) {
		return true
	}
	return time.Since(a.receivedAt) < maxSilence && a.run.f.selector.avoided(server)
}
