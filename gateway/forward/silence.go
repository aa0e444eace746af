package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

// silence bounds the time without an event of a running stream. The ceiling
// leaves time to go on elsewhere within the 700 ms that callers expect; the
// floor is above the time that a neighbour's prompt takes in the engine.
var silence = suspicion.Policy{MinSilenceTimeout: 240 * time.Millisecond, MaxSilenceTimeout: 400 * time.Millisecond, Deviations: 6}

const (
	// quietCheck is how often a server is checked that has not sent the first
	// event yet.
	quietCheck = 400 * time.Millisecond
	// probeTimeout bounds one check: a new connection and an answer over two
	// round trips between regions.
	probeTimeout = 250 * time.Millisecond
	// lateWake is how much later than its time a read deadline may be handled;
	// beyond, this process did not run, and the silence proves nothing.
	lateWake = 60 * time.Millisecond
)

// wait reads from the server until something comes, it is taken for lost, or
// the context ends. read must be repeatable after a timeout.
func (a *streamAttempt) wait(ctx context.Context, read func() error) error {
	for {
		budget := quietCheck
		if !a.waiting {
			budget = a.cadence.SilenceTimeout(silence)
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

// noteHeard notes that the server itself sent something: an answer that it vouches
// for, or a part of one.
func (a *streamAttempt) noteHeard() {
	a.run.f.selector.update(func(ledger *placement.Ledger, now time.Time) { ledger.Received(now, a.server.ID) })
}

// alive reports whether the server shows that it runs though this stream is
// silent.
func (a *streamAttempt) alive(ctx context.Context, now time.Time, budget time.Duration) bool {
	var heard time.Time
	f := a.run.f
	f.selector.update(func(ledger *placement.Ledger, _ time.Time) { heard = ledger.LastReceived(a.server.ID) })
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

// answerLost reports whether a server that sent nothing yet shows that the
// answer will not come: it made events that did not arrive. A request that it
// still reads is in none of its lists.
func (a *streamAttempt) answerLost(report *message.Report) bool {
	return time.Since(a.sent) >= silentStart && report.EventsByRequest[a.run.j.request.ID] > 0
}

const (
	// longestSilence is the silence of a running stream that ends its attempt
	// even though the server runs.
	longestSilence = 1500 * time.Millisecond
	// silentStart is the time after which a server is asked about a request that
	// it has not begun to answer; its reports are some 200 ms old.
	silentStart = 900 * time.Millisecond
)
