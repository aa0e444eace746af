package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// submit hands in a claim operation of this call's attempt.
func (m *Machine) submit(kind claim.OperationKind, timeout time.Duration, direct bool) uint64 {
	m.operation++
	m.emit(Submit{Direct: direct, Operation: claim.Operation{
		ID:        m.operation,
		Kind:      kind,
		Key:       m.request.Key,
		Attempt:   m.request.Attempt,
		Hash:      m.request.Hash,
		Retention: m.request.Retention,
		Outcome:   m.outcome,
		Timeout:   timeout,
	}})
	return m.operation
}

func (m *Machine) submitClaim(now time.Time, direct bool) {
	left := m.started.Add(m.settings.ClaimTimeout).Sub(now)
	m.claims[m.submit(claim.Claim, left, direct)] = true
	m.forwarded = m.forwarded || direct
}

// claimingPasses goes to the platform directly when the home is slow, and
// gives up when the claim takes too long.
func (m *Machine) claimingPasses(now time.Time) {
	giveUp := m.started.Add(m.settings.ClaimTimeout)
	if !now.Before(giveUp) || !now.Before(m.request.Deadline) {
		m.abandonClaim(now)
		return
	}
	if !m.forwarded && !now.Before(m.started.Add(m.settings.ForwardTimeout)) {
		m.submitClaim(now, true)
	}
}

// abandonClaim answers that this submission was not sent, and voids the
// attempt in the background, since its claim may still take effect.
func (m *Machine) abandonClaim(now time.Time) {
	m.refuse(refusedHere("the state of the key could not be read in time"))
	m.release(now, nil)
}

func (m *Machine) forwardFailed(now time.Time, input ForwardFailed) {
	switch m.state {
	case stateClaiming:
		delete(m.claims, input.ID)
		m.unresolved = true
		if !m.forwarded {
			m.submitClaim(now, true)
		}
	case stateReleasing, stateRecording:
		if input.ID == m.operation {
			m.resubmitAt = now
			m.passTime(now)
		}
	}
}

func (m *Machine) operationAnswered(now time.Time, answer OperationAnswered) {
	switch m.state {
	case stateClaiming:
		m.claimAnswered(now, answer)
	case stateReleasing:
		m.releaseAnswered(now, answer)
	case stateRecording:
		m.recordAnswered(now, answer)
	}
}

func (m *Machine) claimAnswered(now time.Time, answer OperationAnswered) {
	if !m.claims[answer.ID] {
		return
	}
	delete(m.claims, answer.ID)
	switch answer.Verdict {
	case claim.ResultClaimed:
		m.claimed(now)
	case claim.ResultOutcome:
		m.finish(Finish{Outcome: answer.Outcome, Replayed: true})
		m.withdraw(now)
	case claim.ResultInDoubt:
		m.refuse(unknown("an earlier submission of the key was sent and has no recorded outcome"))
		m.withdraw(now)
	case claim.ResultReused:
		m.refuse(keyReused())
		m.withdraw(now)
	default:
		m.unresolved = true
		m.claimUnresolved(now)
	}
}

// withdraw ends a submission whose key belongs to another one. Its claim may
// still be on its way by another path and would take effect once that other
// one is released, so the attempt is voided.
func (m *Machine) withdraw(now time.Time) {
	if m.unresolved || len(m.claims) > 0 {
		m.release(now, nil)
		return
	}
	m.state = stateDone
}

// claimUnresolved goes to the platform directly, or gives up when no
// submission of the claim is left.
func (m *Machine) claimUnresolved(now time.Time) {
	if !m.forwarded {
		m.submitClaim(now, true)
		return
	}
	if len(m.claims) == 0 {
		m.abandonClaim(now)
	}
}

// claimed goes on to a server, unless the claim came too late to be used.
func (m *Machine) claimed(now time.Time) {
	if m.dispatchOver(now) {
		m.release(now, notRun("the claim took too long"))
		return
	}
	m.route()
}

// dispatchOver reports whether the call must no longer be sent.
func (m *Machine) dispatchOver(now time.Time) bool {
	if m.request.Mode != ModeClaimed {
		return !now.Before(m.request.Deadline)
	}
	limit := m.started.Add(m.settings.DispatchWindow)
	return !now.Before(limit) || !now.Before(m.request.Deadline)
}

func refusedHere(reason string) *fault.Error {
	return fault.New(fault.CallRefusedHere, reason).WithExecution(fault.ExecutionRefusedHere)
}

func unknown(reason string) *fault.Error {
	return fault.New(fault.CallUnknown, reason).WithExecution(fault.ExecutionUnknown)
}

func notRun(reason string) *fault.Error {
	return fault.New(fault.CallNotRun, reason).WithExecution(fault.ExecutionNotRun)
}

// keyReused refuses a body other than the first one of the key. Of the first
// one nothing is said but that it was submitted.
func keyReused() *fault.Error {
	return fault.New(fault.CallKeyReused, "the key belongs to another request").WithExecution(fault.ExecutionRefusedHere)
}
