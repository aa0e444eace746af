package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// submit emits a claim operation of this call's attempt and returns its id.
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
	remaining := m.startedAt.Add(m.settings.ClaimTimeout).Sub(now)
	m.claims[m.submit(claim.Claim, remaining, direct)] = true
	m.submittedDirectly = m.submittedDirectly || direct
}

// runClaimTimers also submits the claim directly to the platform when the
// shard's owner is slow, and abandons it when it takes too long.
func (m *Machine) runClaimTimers(now time.Time) {
	claimDeadline := m.startedAt.Add(m.settings.ClaimTimeout)
	if !now.Before(claimDeadline) || !now.Before(m.request.Deadline) {
		m.abandonClaim(now)
		return
	}
	if !m.submittedDirectly && !now.Before(m.startedAt.Add(m.settings.ForwardTimeout)) {
		m.submitClaim(now, true)
	}
}

// abandonClaim answers that this submission was not sent, and releases the
// attempt in the background, since its claim may still take effect.
func (m *Machine) abandonClaim(now time.Time) {
	m.answerFailure(refusedHereFault("the state of the key could not be read in time"))
	m.release(now, nil)
}

func (m *Machine) forwardFailed(now time.Time, input ForwardFailed) {
	switch m.state {
	case stateClaiming:
		delete(m.claims, input.ID)
		m.claimMayApply = true
		if !m.submittedDirectly {
			m.submitClaim(now, true)
		}
	case stateReleasing, stateRecording:
		if input.ID == m.operation {
			m.nextSubmitAt = now
			m.runTimers(now)
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
		m.answerCaller(Finish{Outcome: answer.Outcome, Replayed: true})
		m.abandonSubmission(now)
	case claim.ResultInDoubt:
		m.answerFailure(unknownFault("an earlier submission of the key was sent and has no recorded outcome"))
		m.abandonSubmission(now)
	case claim.ResultReused:
		m.answerFailure(keyReusedFault())
		m.abandonSubmission(now)
	default:
		m.claimMayApply = true
		m.claimUnresolved(now)
	}
}

// abandonSubmission ends a submission whose key belongs to another one. Its
// claim may still be in transit by another path and would take effect once that
// other one is released, so the attempt is released as well.
func (m *Machine) abandonSubmission(now time.Time) {
	if m.claimMayApply || len(m.claims) > 0 {
		m.release(now, nil)
		return
	}
	m.state = stateDone
}

// claimUnresolved submits the claim directly to the platform, or abandons it
// when no submission of the claim is pending.
func (m *Machine) claimUnresolved(now time.Time) {
	if !m.submittedDirectly {
		m.submitClaim(now, true)
		return
	}
	if len(m.claims) == 0 {
		m.abandonClaim(now)
	}
}

// claimed requests a server, unless the claim took effect too late to be used.
func (m *Machine) claimed(now time.Time) {
	if m.dispatchExpired(now) {
		m.release(now, notRunFault("the claim took too long"))
		return
	}
	m.requestRoute()
}

// dispatchExpired reports whether the call must no longer be sent.
func (m *Machine) dispatchExpired(now time.Time) bool {
	if m.request.Mode != ModeClaimed {
		return !now.Before(m.request.Deadline)
	}
	limit := m.startedAt.Add(m.settings.DispatchWindow)
	return !now.Before(limit) || !now.Before(m.request.Deadline)
}

func refusedHereFault(reason string) *fault.Error {
	return fault.New(fault.CallRefusedHere, reason).WithExecution(fault.ExecutionRefusedHere)
}

func unknownFault(reason string) *fault.Error {
	return fault.New(fault.CallOutcomeUnknown, reason).WithExecution(fault.ExecutionUnknown)
}

func notRunFault(reason string) *fault.Error {
	return fault.New(fault.CallNotRun, reason).WithExecution(fault.ExecutionNotRun)
}

// keyReusedFault refuses a body other than the first one of the key. It discloses
// only that the first one was submitted.
func keyReusedFault() *fault.Error {
	return fault.New(fault.CallKeyReused, "the key belongs to another request").WithExecution(fault.ExecutionRefusedHere)
}
