package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

// silencePolicy bounds the silence timeout of a running stream. The ceiling
// leaves time to resume at another server within the 700 ms that clients expect.
// The floor exceeds the time for which another request's prefill delays a stream.
var silencePolicy = suspicion.Policy{MinSilenceTimeout: 240 * time.Millisecond, MaxSilenceTimeout: 400 * time.Millisecond, Deviations: 6}

const (
	// firstEventCheckInterval is the time between two checks of a server that has
	// not sent the first event yet.
	firstEventCheckInterval = 400 * time.Millisecond
	// minSilence is the silence of a running stream after which its server begins to be checked.
	minSilence = 120 * time.Millisecond
	// waitingCheckInterval is the minimum time between two checks of a silent server that is waited for.
	waitingCheckInterval = 400 * time.Millisecond
	// lossPollInterval is the time between two looks whether the data centre of a silent server was found lost.
	lossPollInterval = 50 * time.Millisecond
	// maxWakeDelay is how late an expired read deadline may be handled. A longer
	// delay means that this process did not run, and the silence proves nothing.
	maxWakeDelay = 60 * time.Millisecond
)

// awaitData calls read until it receives data, the connection fails, the stream
// leaves the silent server for another one, or the context ends. It must be possible
// to call read again after a timeout. Bytes that complete no event are no sign of a sound server:
// the time of the next check stays, and errNoEvent is returned when they come for maxFragmentTime.
func (a *streamAttempt) awaitData(ctx context.Context, read func() error) error {
	if a.hop != nil {
		return a.awaitPeer(ctx, read)
	}
	for {
		timeout := a.checkInterval()
		if a.checkAt.IsZero() {
			a.checkAt, a.checkBegun = time.Now().Add(timeout), false
		}
		deadline, early := a.nextDeadline(timeout)
		if err := a.conn.SetReadDeadline(deadline); err != nil {
			return err
		}
		err := read()
		if err == nil || !upstream.IsReadTimeout(err) || ctx.Err() != nil {
			return err
		}
		now := time.Now()
		if early {
			if a.lostMeanwhile(ctx, now, err) {
				return err
			}
			a.beginCheck(now, deadline, timeout)
			continue
		}
		late := now.Sub(a.checkAt) >= maxWakeDelay
		a.checkAt = time.Time{}
		if late {
			continue
		}
		if a.sendsNoEvent(now) {
			return errNoEvent
		}
		evidence := a.evidenceToLeave(ctx, err, timeout)
		if ctx.Err() != nil || (evidence != "" && a.leave(ctx, err, evidence)) {
			return err
		}
	}
}

// checkInterval returns the time after an event, or after a check, until the server is checked.
func (a *streamAttempt) checkInterval() time.Duration {
	if a.awaitsFirstEvent() {
		return firstEventCheckInterval
	}
	timeout := a.eventIntervals.SilenceTimeout(silencePolicy)
	if a.waiting {
		return max(timeout, waitingCheckInterval)
	}
	return timeout
}

// nextDeadline returns the time of the next check, or, early, when something is to be done before: to begin the check of
// the server's liveness, so that the finding is there by then, or to look whether its data centre was found lost. Events
// are still received meanwhile.
func (a *streamAttempt) nextDeadline(timeout time.Duration) (deadline time.Time, early bool) {
	if a.awaitsLoss() {
		if deadline = time.Now().Add(lossPollInterval); deadline.Before(a.checkAt) {
			return deadline, true
		}
		// A deadline after the check would move on with each byte of a server that sends no event.
		return a.checkAt, false
	}
	if a.checkBegun || a.waiting || a.awaitsFirstEvent() {
		return a.checkAt, false
	}
	deadline = a.checkAt.Add(-min(acceptTimeout, timeout-minSilence))
	return deadline, deadline.Before(a.checkAt)
}

// beginCheck begins a check of the server's liveness, at a deadline, unless it has just sent something.
func (a *streamAttempt) beginCheck(now, deadline time.Time, timeout time.Duration) {
	if a.checkBegun || a.waiting || a.awaitsFirstEvent() {
		return
	}
	a.checkBegun = true
	if now.Sub(a.run.f.selector.lastResponse(a.server.ID)) >= timeout/2 {
		if now.Sub(deadline) < maxWakeDelay {
			a.run.f.liveness.centres.silent(a.server)
		}
		a.run.f.liveness.join(a.server, acceptTimeout)
	}
}

// awaitsLoss reports whether the stream waits for its server and leaves it as soon as its data centre is found lost.
func (a *streamAttempt) awaitsLoss() bool {
	return !a.triedLoss && (a.waiting || a.checkBegun || a.awaitsFirstEvent())
}

// lostMeanwhile reports whether the server's data centre was found lost and another server has taken the stream over. That
// is tried once until the server sends something; the later checks try it again.
func (a *streamAttempt) lostMeanwhile(ctx context.Context, now time.Time, cause error) bool {
	if !a.awaitsLoss() || now.Sub(a.receivedAt) < minSilence || !a.run.f.liveness.centres.lost(a.server) {
		return false
	}
	a.triedLoss = true
	return a.leave(ctx, cause, evidenceUnreachable)
}

// progressed records that the server sent the head of its answer or an event.
func (a *streamAttempt) progressed(now time.Time) {
	a.receivedAt = now
	a.checkAt, a.fragmentsSince, a.runsSince, a.triedLoss = time.Time{}, time.Time{}, time.Time{}, false
	a.checkedBytes = a.conn.Received()
}

// sendsNoEvent reports, at a check, whether the server has sent bytes without completing an event
// for maxFragmentTime. A server that sends a part and is then silent is not meant.
func (a *streamAttempt) sendsNoEvent(now time.Time) bool {
	received := a.conn.Received()
	if received == a.checkedBytes {
		return false
	}
	a.checkedBytes = received
	if a.fragmentsSince.IsZero() {
		a.fragmentsSince = now
	}
	return now.Sub(a.fragmentsSince) >= maxFragmentTime
}

// errNoEvent means that a server sends bytes but neither a head nor an event.
var errNoEvent = fault.New(fault.UpstreamBroken, "the server sends bytes without completing an event")

// recordAnswer records in the ledger that the server itself began to answer, and so ran when the request was sent.
func (a *streamAttempt) recordAnswer() {
	a.run.f.selector.withLedger(func(ledger *placement.Ledger, now time.Time) {
		ledger.Received(now, a.server.ID)
		ledger.Ran(a.sentAt, a.server.ID)
	})
}

// recordResponse records in the ledger that the server itself sent a part of the body.
func (a *streamAttempt) recordResponse() {
	a.run.f.selector.withLedger(func(ledger *placement.Ledger, now time.Time) { ledger.Received(now, a.server.ID) })
}

// evidenceToLeave returns what shows that the silent server has stopped, is out of reach or does not send on this
// stream; empty when it may go on. A server that only is silent may still run the request, and would not notice that
// its connection is closed: it is avoided for other requests meanwhile.
func (a *streamAttempt) evidenceToLeave(ctx context.Context, cause error, timeout time.Duration) silenceEvidence {
	f, now := a.run.f, time.Now()
	if a.replaced() {
		return evidenceOtherProcess
	}
	lastResponse := a.run.f.selector.lastResponse(a.server.ID)
	finding := livenessFinding{liveness: livenessRuns}
	// Only a report shows that the beginning of an answer was lost.
	needsReport := a.awaitsFirstEvent() && now.Sub(a.sentAt) >= unansweredProbeDelay
	if needsReport || now.Sub(lastResponse) >= timeout/2 {
		finding = f.liveness.check(ctx, a.server, a.receivedAt)
	}
	if ctx.Err() != nil {
		return ""
	}
	switch finding.liveness {
	case livenessRefused:
		if f.selector.cutOff(a.server.Service) {
			// What refuses connections to all servers may be on the way, and this one may run.
			return a.evidenceOfLongSilence(cause, lastResponse)
		}
		return evidenceRefused
	case livenessOtherProcess:
		return evidenceOtherProcess
	case livenessUnreachable:
		if f.liveness.centres.lost(a.server) {
			return evidenceUnreachable
		}
		return a.evidenceOfLongSilence(cause, lastResponse)
	case livenessRuns:
		return a.evidenceOfLostAnswer(time.Now(), &finding.report)
	default:
		return a.evidenceOfLongSilence(cause, lastResponse)
	}
}

// replaced reports whether a later process has the address of the server, or its id. An older copy of the
// store may list an earlier one.
func (a *streamAttempt) replaced() bool {
	snapshot := a.run.f.directory.Snapshot()
	if listed := snapshot.Find(a.server.ID); listed != nil {
		return a.server.Incarnation != 0 && listed.Incarnation > a.server.Incarnation
	}
	return snapshot.FindByAddress(a.server.Address) != nil
}

// evidenceOfLostAnswer returns what shows that a server that runs does not send on this stream. It has run for
// minRunTime, so that its events would have arrived after a pause.
func (a *streamAttempt) evidenceOfLostAnswer(now time.Time, report *message.Report) silenceEvidence {
	a.serverAnsweredAt = now
	if a.runsSince.IsZero() {
		a.runsSince = now
	}
	if now.Sub(a.runsSince) < minRunTime {
		return ""
	}
	switch {
	case a.response == nil && a.headBegun:
		return evidencePartialHead
	case a.awaitsFirstEvent():
		if a.answerLost(report) {
			return evidenceAnswerLost
		}
	case now.Sub(a.receivedAt) >= a.maxStreamSilence():
		return evidenceStreamSilent
	}
	return ""
}

// maxStreamSilence returns the silence after which a running stream leaves a server that answers.
func (a *streamAttempt) maxStreamSilence() time.Duration {
	if a.copyHolder() != nil {
		return maxSilenceWithCopy
	}
	return maxSilence
}

// evidenceOfLongSilence waits for a silent server unless it has been silent for longer than a sound one pauses.
func (a *streamAttempt) evidenceOfLongSilence(cause error, lastResponse time.Time) silenceEvidence {
	a.runsSince = time.Time{}
	since := a.receivedAt
	for _, sign := range []time.Time{lastResponse, a.serverAnsweredAt} {
		if sign.After(since) {
			since = sign
		}
	}
	if time.Since(since) >= maxPause {
		return evidenceServerSilent
	}
	a.await(cause, endMayStillRun, "")
	return ""
}

// answerLost reports whether the load report of a server that has not answered
// yet shows that the answer was lost: the server has produced events that did not
// arrive. A request in prefill is in none of its lists.
func (a *streamAttempt) answerLost(report *message.Report) bool {
	return time.Since(a.sentAt) >= unansweredProbeDelay && report.EventsByRequest[a.run.j.request.ID] > 0
}

const (
	// maxSilence is the silence after which a running stream leaves its server
	// even though the server runs, if another one may take over; maxSilenceWithCopy applies when
	// that one has a copy.
	maxSilence         = 1500 * time.Millisecond
	maxSilenceWithCopy = 450 * time.Millisecond
	// minRunTime is how long a server has answered checks, after a pause, before its silence on one
	// stream means that the stream's connection is lost.
	minRunTime = 200 * time.Millisecond
	// maxPause is the silence of a server, over connections that its machine still accepts, after which
	// it is not taken for a sound one any more: sound servers pause for up to two seconds.
	maxPause = 2500 * time.Millisecond
	// maxFragmentTime is the time between the first and the last check that find bytes without an
	// event, after which the server is not sound. With the checks before and after it, callers that
	// abandon a stream after a gap of two seconds get an end or the next event before.
	maxFragmentTime = time.Second
	// unansweredProbeDelay is the time after which a server that has not begun to
	// answer is always probed, and its load report can show that the answer was
	// lost. The reports are some 200 ms old.
	unansweredProbeDelay = 900 * time.Millisecond
)
