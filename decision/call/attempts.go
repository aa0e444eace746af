package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// routeChosen sends the call to the server, unless its dispatch window is over.
func (m *Machine) routeChosen(now time.Time, input RouteChosen) {
	if m.state != stateRouting {
		return
	}
	if m.dispatchExpired(now) {
		m.endWithoutAttempt(now, notRunFault("the time window to send the call had passed"))
		return
	}
	m.attempts++
	m.running[m.attempts] = input.Server
	m.tried = append(m.tried, input.Server)
	m.state = stateSending
	m.nextRetryAt = time.Time{}
	m.emit(Dispatch{Attempt: m.attempts, Server: input.Server})
}

func (m *Machine) routeFailed(now time.Time, input RouteFailed) {
	if m.state != stateRouting {
		return
	}
	if len(m.running) > 0 {
		// No server for the hedge; the first attempt still runs.
		m.state = stateSending
		return
	}
	m.endWithoutAttempt(now, input.Fault.WithExecution(fault.ExecutionNotRun))
}

// endWithoutAttempt ends a call of which no attempt is running. The failure
// applies only when nothing was sent.
func (m *Machine) endWithoutAttempt(now time.Time, failure *fault.Error) {
	if m.request.Mode == ModeClaimed {
		m.release(now, failure)
		return
	}
	m.state = stateDone
	switch {
	case m.sent:
		m.answerFailure(fault.New(fault.CallFailed, "every attempt failed").WithExecution(fault.ExecutionUnknown))
	case m.request.Keyed:
		m.answerFailure(failure.WithExecution(fault.ExecutionRefusedHere))
	default:
		m.answerFailure(failure)
	}
}

func (m *Machine) attemptEnded(now time.Time, input AttemptEnded) {
	if _, running := m.running[input.Attempt]; !running {
		return
	}
	delete(m.running, input.Attempt)
	m.sent = m.sent || input.Ending != NeverSent
	switch input.Ending {
	case Answered:
		m.answered(now, input)
	case Unanswered:
		m.attemptFailed(now)
	default:
		m.neverSent(now)
	}
}

func (m *Machine) answered(now time.Time, input AttemptEnded) {
	m.cancelRunning()
	if m.request.Mode == ModeClaimed {
		m.record(now, input.Outcome)
		return
	}
	m.answerCaller(Finish{Outcome: input.Outcome})
	m.state = stateDone
}

// cancelRunning cancels the running attempts, whose answers are not needed.
func (m *Machine) cancelRunning() {
	for attempt := 1; attempt <= m.attempts; attempt++ {
		if _, running := m.running[attempt]; running {
			delete(m.running, attempt)
			m.emit(Cancel{Attempt: attempt})
		}
	}
}

// attemptFailed handles an attempt that was sent and has no answer. Only
// idempotent calls are retried.
func (m *Machine) attemptFailed(now time.Time) {
	if m.request.Mode == ModeIdempotent {
		m.scheduleRetry(now)
		return
	}
	m.answerFailure(unknownFault("the call was sent and its answer was lost"))
	m.state = stateDone
}

// neverSent handles an attempt that was not sent: it requests another server
// while routes and time are left.
func (m *Machine) neverSent(now time.Time) {
	if m.request.Mode == ModeIdempotent {
		m.scheduleRetry(now)
		return
	}
	if m.answerSent {
		m.release(now, nil)
		return
	}
	if m.attempts >= m.settings.MaxRoutes || m.dispatchExpired(now) {
		m.endWithoutAttempt(now, notRunFault("no backend server accepted the connection"))
		return
	}
	m.purpose = serving.PurposeRetry
	m.requestRoute()
}

// scheduleRetry schedules the next attempt of an idempotent call, unless the
// attempts or the budget are used up.
func (m *Machine) scheduleRetry(now time.Time) {
	if len(m.running) > 0 {
		return
	}
	if m.attempts >= m.settings.MaxAttempts {
		m.endWithoutAttempt(now, notRunFault("no backend server accepted the connection"))
		return
	}
	if !m.budget.Take() {
		m.endWithoutAttempt(now, fault.New(fault.RetryBudgetEmpty, "the retry budget is empty").WithExecution(fault.ExecutionNotRun))
		return
	}
	m.state = stateWaiting
	m.nextRetryAt = now.Add(m.settings.Backoff.Delay(m.random, m.attempts-1))
	m.runAttemptTimers(now)
}

// runAttemptTimers starts a due retry or hedge and answers at the deadline.
func (m *Machine) runAttemptTimers(now time.Time) {
	if !now.Before(m.request.Deadline) {
		m.deadlinePassed(now)
		return
	}
	if m.state == stateWaiting && !now.Before(m.nextRetryAt) {
		m.purpose = serving.PurposeRetry
		m.nextRetryAt = time.Time{}
		m.requestRoute()
		return
	}
	hedgeAt := m.nextHedgeAt()
	if m.state == stateSending && !hedgeAt.IsZero() && !now.Before(hedgeAt) {
		m.startHedge()
	}
}

// nextHedgeAt returns the time at which the hedge starts, zero when none will.
func (m *Machine) nextHedgeAt() time.Time {
	mayHedge := m.request.Mode == ModeIdempotent && m.request.HedgeAfter > 0 && !m.hedgeStarted
	if !mayHedge || m.state != stateSending || m.attempts > 1 {
		return time.Time{}
	}
	return m.startedAt.Add(m.request.HedgeAfter)
}

func (m *Machine) startHedge() {
	m.hedgeStarted = true
	if !m.budget.Take() {
		return
	}
	m.purpose = serving.PurposeHedge
	m.requestRoute()
}

// deadlinePassed answers the caller. The attempt of a claimed or checked call
// keeps running, so that a late answer can be recorded.
func (m *Machine) deadlinePassed(now time.Time) {
	if m.request.Mode == ModeIdempotent {
		sent := m.sent || len(m.running) > 0
		m.cancelRunning()
		m.sent = sent
		m.endWithoutAttempt(now, deadlinePassedFault())
		return
	}
	if len(m.running) == 0 {
		m.endWithoutAttempt(now, deadlinePassedFault())
		return
	}
	m.answerFailure(unknownFault("the call was sent and not answered before its deadline"))
}

func deadlinePassedFault() *fault.Error {
	return fault.New(fault.DeadlinePassed, "the call was not sent before its deadline").WithExecution(fault.ExecutionNotRun)
}
