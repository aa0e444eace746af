package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// routed sends the call to the server, unless it is too late.
func (m *Machine) routed(now time.Time, input RouteChosen) {
	if m.state != stateRouting {
		return
	}
	if m.dispatchOver(now) {
		m.stopUnsent(now, notRun("no time was left to send the call"))
		return
	}
	m.attempts++
	m.running[m.attempts] = input.Server
	m.tried = append(m.tried, input.Server)
	m.state = stateSending
	m.retryAt = time.Time{}
	m.emit(Dispatch{Attempt: m.attempts, Server: input.Server})
}

func (m *Machine) routeFailed(now time.Time, input RouteFailed) {
	if m.state != stateRouting {
		return
	}
	if len(m.running) > 0 {
		// Only the hedge found no server.
		m.state = stateSending
		return
	}
	m.stopUnsent(now, input.Fault.WithExecution(fault.ExecutionNotRun))
}

// stopUnsent ends a call of which no attempt runs. The failure applies when
// nothing was sent.
func (m *Machine) stopUnsent(now time.Time, failure *fault.Error) {
	if m.request.Mode == ModeClaimed {
		m.release(now, failure)
		return
	}
	m.state = stateDone
	switch {
	case m.sent:
		m.refuse(fault.New(fault.CallFailed, "every attempt failed").WithExecution(fault.ExecutionUnknown))
	case m.request.Keyed:
		m.refuse(failure.WithExecution(fault.ExecutionRefusedHere))
	default:
		m.refuse(failure)
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
		m.lost(now)
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
	m.finish(Finish{Outcome: input.Outcome})
	m.state = stateDone
}

// cancelRunning ends the attempts that are not needed any more.
func (m *Machine) cancelRunning() {
	for attempt := 1; attempt <= m.attempts; attempt++ {
		if _, running := m.running[attempt]; running {
			delete(m.running, attempt)
			m.emit(Cancel{Attempt: attempt})
		}
	}
}

// lost ends an attempt that was sent. Only idempotent calls go on.
func (m *Machine) lost(now time.Time) {
	if m.request.Mode == ModeIdempotent {
		m.retry(now)
		return
	}
	m.refuse(unknown("the call was sent and its answer was lost"))
	m.state = stateDone
}

// neverSent goes on to another server.
func (m *Machine) neverSent(now time.Time) {
	if m.request.Mode == ModeIdempotent {
		m.retry(now)
		return
	}
	if m.finished {
		m.release(now, nil)
		return
	}
	if m.attempts >= m.settings.MaxRoutes || m.dispatchOver(now) {
		m.stopUnsent(now, notRun("no backend server took the connection"))
		return
	}
	m.purpose = serving.PurposeRetry
	m.route()
}

// retry waits for the next attempt of an idempotent call if there may be one.
func (m *Machine) retry(now time.Time) {
	if len(m.running) > 0 {
		return
	}
	if m.attempts >= m.settings.MaxAttempts {
		m.stopUnsent(now, notRun("no backend server took the connection"))
		return
	}
	if !m.budget.Take() {
		m.stopUnsent(now, fault.New(fault.RetryBudgetEmpty, "no retry is left").WithExecution(fault.ExecutionNotRun))
		return
	}
	m.state = stateWaiting
	m.retryAt = now.Add(m.settings.Backoff.Delay(m.random, m.attempts-1))
	m.attemptsPass(now)
}

// attemptsPass starts what is due and answers at the deadline.
func (m *Machine) attemptsPass(now time.Time) {
	if !now.Before(m.request.Deadline) {
		m.deadlinePassed(now)
		return
	}
	if m.state == stateWaiting && !now.Before(m.retryAt) {
		m.purpose = serving.PurposeRetry
		m.retryAt = time.Time{}
		m.route()
		return
	}
	hedgeAt := m.hedgeAt()
	if m.state == stateSending && !hedgeAt.IsZero() && !now.Before(hedgeAt) {
		m.hedge()
	}
}

// hedgeAt returns when a second attempt starts, zero when none will.
func (m *Machine) hedgeAt() time.Time {
	may := m.request.Mode == ModeIdempotent && m.request.HedgeAfter > 0 && !m.hedged
	if !may || m.state != stateSending || m.attempts > 1 {
		return time.Time{}
	}
	return m.started.Add(m.request.HedgeAfter)
}

func (m *Machine) hedge() {
	m.hedged = true
	if !m.budget.Take() {
		return
	}
	m.purpose = serving.PurposeHedge
	m.route()
}

// deadlinePassed answers the caller. A call that was sent is still listened
// to, so that a late answer can be recorded.
func (m *Machine) deadlinePassed(now time.Time) {
	if m.request.Mode == ModeIdempotent {
		sent := m.sent || len(m.running) > 0
		m.cancelRunning()
		m.sent = sent
		m.stopUnsent(now, deadlinePassed())
		return
	}
	if len(m.running) == 0 {
		m.stopUnsent(now, deadlinePassed())
		return
	}
	m.refuse(unknown("the call was sent and not answered before its deadline"))
}

func deadlinePassed() *fault.Error {
	return fault.New(fault.DeadlinePassed, "the call was not sent before its deadline").WithExecution(fault.ExecutionNotRun)
}
