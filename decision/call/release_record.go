package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// release releases the claim of the attempt, which was not sent and never will
// be. With a refusal, the caller is answered once the release took effect.
func (m *Machine) release(now time.Time, refusal *fault.Error) {
	m.state = stateReleasing
	m.refusal = refusal
	m.releaseStartedAt = now
	m.backgroundDeadline = now.Add(m.settings.BackgroundTimeout)
	m.submitAndResubmit(now, claim.Release, false)
}

// releaseAnswered processes the verdict of a release. Only a release that took
// effect allows the answer not-run.
func (m *Machine) releaseAnswered(now time.Time, answer OperationAnswered) {
	if answer.ID != m.operation {
		return
	}
	switch answer.Verdict {
	case claim.ResultReleased:
		if m.refusal != nil {
			m.answerFailure(m.refusal)
		}
		m.state = stateDone
	case claim.ResultUnresolved:
		m.nextSubmitAt = now.Add(m.retryDelay())
	default:
		m.answerUnreleased()
		m.state = stateDone
	}
}

func (m *Machine) runReleaseTimers(now time.Time) {
	if !now.Before(m.releaseStartedAt.Add(m.settings.ReleaseTimeout)) {
		m.answerUnreleased()
	}
	m.runResubmitTimers(now, claim.Release)
}

// answerUnreleased answers a caller whose claim may still be held: a repeat of
// the key may be answered with unknown.
func (m *Machine) answerUnreleased() {
	m.answerFailure(refusedHereFault("the call was not sent and its claim could not be released in time"))
}

// runResubmitTimers resubmits a release or record until BackgroundTimeout is over.
func (m *Machine) runResubmitTimers(now time.Time, kind claim.OperationKind) {
	if !now.Before(m.backgroundDeadline) {
		m.backgroundTimedOut = true
		m.state = stateDone
		return
	}
	if now.Before(m.nextSubmitAt) {
		return
	}
	m.submitAndResubmit(now, kind, true)
}

// submitAndResubmit submits a release or record and schedules its resubmission,
// since its message or its answer may be lost.
func (m *Machine) submitAndResubmit(now time.Time, kind claim.OperationKind, direct bool) {
	wait := m.settings.ForwardTimeout
	if direct {
		wait = m.settings.OperationTimeout
	}
	m.nextSubmitAt = now.Add(wait)
	m.submit(kind, m.settings.OperationTimeout, direct)
}

// record answers the caller and stores the outcome for repeats of the key.
func (m *Machine) record(now time.Time, outcome claim.Outcome) {
	m.answerCaller(Finish{Outcome: outcome})
	m.outcome = outcome.Bounded()
	m.state = stateRecording
	m.backgroundDeadline = now.Add(m.settings.BackgroundTimeout)
	m.submitAndResubmit(now, claim.Record, false)
}

func (m *Machine) recordAnswered(now time.Time, answer OperationAnswered) {
	if answer.ID != m.operation {
		return
	}
	if answer.Verdict == claim.ResultUnresolved {
		m.nextSubmitAt = now.Add(m.retryDelay())
		return
	}
	m.state = stateDone
}

func (m *Machine) runRecordTimers(now time.Time) { m.runResubmitTimers(now, claim.Record) }

// retryDelay returns the delay before an operation is resubmitted.
func (m *Machine) retryDelay() time.Duration {
	return m.settings.Backoff.Delay(m.random, 1) + time.Millisecond
}
