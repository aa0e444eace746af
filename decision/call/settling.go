package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// release voids the attempt, which was not sent and never will be. With a
// refusal, the caller is answered once the release is settled.
func (m *Machine) release(now time.Time, refusal *fault.Error) {
	m.state = stateReleasing
	m.refusal = refusal
	m.releaseSince = now
	m.backgroundEnd = now.Add(m.settings.BackgroundTimeout)
	m.settle(now, claim.Release, false)
}

// releaseAnswered ends a release. Only a release that took effect allows the
// answer not-run.
func (m *Machine) releaseAnswered(now time.Time, answer OperationAnswered) {
	if answer.ID != m.operation {
		return
	}
	switch answer.Verdict {
	case claim.ResultReleased:
		if m.refusal != nil {
			m.refuse(m.refusal)
		}
		m.state = stateDone
	case claim.ResultUnresolved:
		m.resubmitAt = now.Add(m.retryDelay())
	default:
		m.refuseUnreleased()
		m.state = stateDone
	}
}

func (m *Machine) releasingPasses(now time.Time) {
	if !now.Before(m.releaseSince.Add(m.settings.ReleaseTimeout)) {
		m.refuseUnreleased()
	}
	m.settlingPasses(now, claim.Release)
}

// refuseUnreleased answers a caller whose claim may still stand: a repeat of
// the key may be answered with unknown.
func (m *Machine) refuseUnreleased() {
	m.refuse(refusedHere("the call was not sent and its claim could not be released in time"))
}

// settlingPasses repeats a release or record until its time is over.
func (m *Machine) settlingPasses(now time.Time, kind claim.OperationKind) {
	if !now.Before(m.backgroundEnd) {
		m.unsettled = true
		m.state = stateDone
		return
	}
	if now.Before(m.resubmitAt) {
		return
	}
	m.settle(now, kind, true)
}

// settle hands in a release or record. It is handed in again when no answer
// comes, as its message or its answer may be lost.
func (m *Machine) settle(now time.Time, kind claim.OperationKind, direct bool) {
	wait := m.settings.ForwardTimeout
	if direct {
		wait = m.settings.OperationTimeout
	}
	m.resubmitAt = now.Add(wait)
	m.submit(kind, m.settings.OperationTimeout, direct)
}

// record answers the caller and stores the outcome for repeats of the key.
func (m *Machine) record(now time.Time, outcome claim.Outcome) {
	m.finish(Finish{Outcome: outcome})
	m.outcome = outcome.Bounded()
	m.state = stateRecording
	m.backgroundEnd = now.Add(m.settings.BackgroundTimeout)
	m.settle(now, claim.Record, false)
}

func (m *Machine) recordAnswered(now time.Time, answer OperationAnswered) {
	if answer.ID != m.operation {
		return
	}
	if answer.Verdict == claim.ResultUnresolved {
		m.resubmitAt = now.Add(m.retryDelay())
		return
	}
	m.state = stateDone
}

func (m *Machine) recordingPasses(now time.Time) { m.settlingPasses(now, claim.Record) }

// retryDelay returns the wait before an operation is handed in again.
func (m *Machine) retryDelay() time.Duration {
	return m.settings.Backoff.Delay(m.random, 1) + time.Millisecond
}
