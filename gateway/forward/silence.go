package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

// silence bounds the silence timeout of a running stream. The ceiling leaves time to
// resume at another server within the 700 ms that clients expect. The floor is above
// the time for which the prefill of another request in the engine holds up a stream.
var silence = suspicion.Policy{Floor: 240 * time.Millisecond, Ceiling: 400 * time.Millisecond, Deviations: 6}

const (
	// quietCheck is the time between two checks of a server that has not sent the
	// first event yet.
	quietCheck = 400 * time.Millisecond
	// probeTimeout bounds one check: a new connection and an answer over two
	// round trips between regions.
	probeTimeout = 250 * time.Millisecond
	// lateWake is how late an expired read deadline may be handled. A longer delay
	// means that this process did not run, and the silence proves nothing.
	lateWake = 60 * time.Millisecond
)

// wait calls read until it receives data, the attempt counts as failed, or the
// context ends. It must be possible to call read again after a timeout.
func (a *streamAttempt) wait(ctx context.Context, read func() error) error {
	for {
		budget := quietCheck
		if !a.waiting {
			budget = a.cadence.Budget(silence)
		}
		due := time.Now().Add(budget)
		if err := a.conn.SetReadDeadline(due); err != nil {
			return err
		}
		err := read()
		now := time.Now()
		if err == nil {
			if !a.waiting {
				a.cadence.Observe(now.Sub(a.heard))
				a.noteHeard()
			}
			a.heard = now
			return nil
		}
		if !upstream.IsTimeout(err) || ctx.Err() != nil {
			return err
		}
		if now.Sub(due) < lateWake && !a.alive(ctx, now, budget) {
			return err
		}
	}
}

// noteHeard records in the ledger that the server itself responded: with the head of
// an answer that it signed, or with a part of the body.
func (a *streamAttempt) noteHeard() {
	a.run.f.selector.update(func(ledger *placement.Ledger, now time.Time) { ledger.Heard(now, a.server.ID) })
}

// alive reports whether the server still runs and the attempt may continue although
// this stream is silent. Recent responses to other requests or to a probe show that
// it runs. A running stream with a KV cache copy is not probed: it resumes there.
func (a *streamAttempt) alive(ctx context.Context, now time.Time, budget time.Duration) bool {
	var heard time.Time
	f := a.run.f
	f.selector.update(func(ledger *placement.Ledger, _ time.Time) { heard = ledger.LastHeard(a.server.ID) })
	if a.waiting {
		if now.Sub(heard) < budget/2 && now.Sub(a.sent) < silentStart {
			return true
		}
		report, answers := f.probe(ctx, a.server)
		return answers && !a.answerLost(&report)
	}
	if now.Sub(a.heard) >= longestSilence {
		return false
	}
	if now.Sub(heard) < budget/2 {
		return true
	}
	if a.copyTo != nil {
		return false
	}
	_, answers := f.probe(ctx, a.server)
	return answers
}

// answerLost reports whether the load report of a server that has not answered yet
// shows that the answer was lost: the server has produced events that did not arrive.
// A request in prefill is in none of its lists.
func (a *streamAttempt) answerLost(report *message.Report) bool {
	return time.Since(a.sent) >= silentStart && report.Runs[a.run.j.request.ID] > 0
}

const (
	// longestSilence is the silence after which the attempt of a running stream
	// ends even though the server runs.
	longestSilence = 1500 * time.Millisecond
	// silentStart is the time after which a server that has not begun to answer is
	// always probed, and its load report can show that the answer was lost. The
	// reports are some 200 ms old.
	silentStart = 900 * time.Millisecond
)
