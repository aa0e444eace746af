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
	// waitingCheckInterval is the minimum time between two checks of a silent server that is waited for.
	waitingCheckInterval = 400 * time.Millisecond
	// probeTimeout bounds one check: a new connection and an answer over two
	// round trips between regions.
	probeTimeout = 250 * time.Millisecond
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
			a.checkAt = time.Now().Add(timeout)
		}
		if err := a.conn.SetReadDeadline(a.checkAt); err != nil {
			return err
		}
		err := read()
		if err == nil || !upstream.IsReadTimeout(err) || ctx.Err() != nil {
			return err
		}
		now := time.Now()
		late := now.Sub(a.checkAt) >= maxWakeDelay
		a.checkAt = time.Time{}
		if late {
			continue
		}
		if a.sendsNoEvent(now) {
			return errNoEvent
		}
		evidence := a.evidenceToLeave(ctx, now, timeout)
		if evidence != "" && (ctx.Err() != nil || a.leave(ctx, err, evidence)) {
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

// progressed records that the server sent the head of its answer or an event.
func (a *streamAttempt) progressed(now time.Time) {
	a.receivedAt = now
	a.checkAt, a.fragmentsSince = time.Time{}, time.Time{}
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

// recordResponse records in the ledger that the server itself responded: with the
// head of an answer that it signed, or with a part of the body.
func (a *streamAttempt) recordResponse() {
	a.run.f.selector.withLedger(func(ledger *placement.Ledger, now time.Time) { ledger.Received(now, a.server.ID) })
}

// evidenceToLeave returns what shows that the attempt should not continue, empty when it may because the
// server still runs. Recent responses to other requests or an answer to a probe show this. A running stream
// with a KV cache copy is not probed: it resumes there.
func (a *streamAttempt) evidenceToLeave(ctx context.Context, now time.Time, timeout time.Duration) silenceEvidence {
	var lastResponse time.Time
	f := a.run.f
	f.selector.withLedger(func(ledger *placement.Ledger, _ time.Time) { lastResponse = ledger.LastReceived(a.server.ID) })
	if a.awaitsFirstEvent() {
		if now.Sub(lastResponse) < timeout/2 && now.Sub(a.sentAt) < unansweredProbeDelay {
			return ""
		}
		report, answers := f.probe(ctx, a.server)
		if !answers {
			return evidenceNoAnswer
		}
		if a.answerLost(&report) {
			return evidenceAnswerLost
		}
		return ""
	}
	if now.Sub(a.receivedAt) >= maxSilence {
		return evidenceLongSilence
	}
	if now.Sub(lastResponse) < timeout/2 {
		return ""
	}
	if a.cacheCopyServer != nil {
		return evidenceUnprobed
	}
	if _, answers := f.probe(ctx, a.server); !answers {
		return evidenceNoAnswer
	}
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
	// even though the server runs, if another one may take over.
	maxSilence = 1500 * time.Millisecond
	// maxFragmentTime is the time between the first and the last check that find bytes without an
	// event, after which the server is not sound. With the checks before and after it, callers that
	// abandon a stream after a gap of two seconds get an end or the next event before.
	maxFragmentTime = time.Second
	// unansweredProbeDelay is the time after which a server that has not begun to
	// answer is always probed, and its load report can show that the answer was
	// lost. The reports are some 200 ms old.
	unansweredProbeDelay = 900 * time.Millisecond
)
