package call

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// state is the stage of a call's life cycle.
type state uint8

const (
	stateClaiming state = iota + 1
	stateRouting
	stateSending
	stateWaiting
	stateReleasing
	stateRecording
	stateDone
)

// Budget bounds the retries of all calls of an instance.
type Budget interface {
	// RecordRequest records the first attempt of a call.
	RecordRequest()
	// Take uses one retry and reports whether one was left.
	Take() bool
}

// Machine is the state of one call. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	request  Request
	random   *rand.Rand
	budget   Budget

	state             state
	startedAt         time.Time
	answerSent        bool
	operation         uint64
	submittedDirectly bool
	// claims holds the operations of claim submissions without an answer yet.
	claims map[uint64]bool
	// claimMayApply means that a claim submission ended with an unknown result and
	// may still take effect.
	claimMayApply bool
	// refusal is the answer to send once the release took effect.
	refusal            *fault.Error
	releaseStartedAt   time.Time
	backgroundDeadline time.Time
	nextSubmitAt       time.Time
	outcome            claim.Outcome
	backgroundTimedOut bool

	attempts     int
	running      map[int]string
	tried        []string
	sent         bool
	hedgeStarted bool
	nextRetryAt  time.Time
	purpose      serving.Purpose
	outputs      []Output
}

// New returns the machine of one call. The budget is shared by the calls of an
// instance; only ModeIdempotent needs one.
func New(settings Settings, request Request, budget Budget, random *rand.Rand) *Machine {
	return &Machine{
		settings: settings,
		request:  request,
		budget:   budget,
		random:   random,
		claims:   make(map[uint64]bool),
		running:  make(map[int]string),
	}
}

// Done reports whether the call is answered and no work remains.
func (m *Machine) Done() bool { return m.state == stateDone }

// ClaimCompleted reports whether a finished machine completed its claim: false
// when the outcome could not be recorded or the claim not be released in time.
func (m *Machine) ClaimCompleted() bool { return !m.backgroundTimedOut }

// RecordsOutcome reports whether the machine's last claim operation records an
// outcome.
func (m *Machine) RecordsOutcome() bool { return m.outcome.Status != 0 }

// Step processes one input at the given time and returns the actions to execute.
func (m *Machine) Step(now time.Time, input Input) []Output {
	m.outputs = nil
	if m.state != 0 {
		m.runTimers(now)
	}
	switch input := input.(type) {
	case Start:
		m.start(now)
	case OperationAnswered:
		m.operationAnswered(now, input)
	case ForwardFailed:
		m.forwardFailed(now, input)
	case RouteChosen:
		m.routeChosen(now, input)
	case RouteFailed:
		m.routeFailed(now, input)
	case AttemptEnded:
		m.attemptEnded(now, input)
	case Tick:
	}
	m.emitWake(now)
	return m.outputs
}

func (m *Machine) start(now time.Time) {
	m.startedAt = now
	m.purpose = serving.PurposeFirst
	if m.request.Mode == ModeClaimed {
		m.state = stateClaiming
		m.submitClaim(now, false)
		return
	}
	if m.request.Mode == ModeIdempotent {
		m.budget.RecordRequest()
	}
	m.requestRoute()
}

// runTimers handles the timers that are due.
func (m *Machine) runTimers(now time.Time) {
	switch m.state {
	case stateClaiming:
		m.runClaimTimers(now)
	case stateReleasing:
		m.runReleaseTimers(now)
	case stateRecording:
		m.runRecordTimers(now)
	case stateRouting, stateSending, stateWaiting:
		m.runAttemptTimers(now)
	}
}

// emit adds an output.
func (m *Machine) emit(output Output) { m.outputs = append(m.outputs, output) }

// answerCaller answers the caller once.
func (m *Machine) answerCaller(answer Finish) {
	if !m.answerSent {
		m.answerSent = true
		m.emit(answer)
	}
}

// answerFailure answers the caller with a failure.
func (m *Machine) answerFailure(failure *fault.Error) {
	if failure.RetryAfter == 0 {
		failure = failure.WithRetryAfter(m.settings.RetryAfter)
	}
	m.answerCaller(Finish{Fault: failure})
}

// requestRoute requests a server that was not tried yet.
func (m *Machine) requestRoute() {
	m.state = stateRouting
	m.emit(RequestRoute{Purpose: m.purpose, Exclude: append([]string(nil), m.tried...)})
}

// emitWake requests the next tick.
func (m *Machine) emitWake(now time.Time) {
	var at time.Time
	for _, timer := range m.timers() {
		if timer.After(now) && (at.IsZero() || timer.Before(at)) {
			at = timer
		}
	}
	if !at.IsZero() {
		m.emit(Wake{At: at})
	}
}

// timers returns the times at which the current state changes without an input;
// zero times don't count.
func (m *Machine) timers() []time.Time {
	switch m.state {
	case stateClaiming:
		return []time.Time{
			m.startedAt.Add(m.settings.ForwardTimeout),
			m.startedAt.Add(m.settings.ClaimTimeout),
			m.request.Deadline,
		}
	case stateReleasing:
		return []time.Time{m.releaseStartedAt.Add(m.settings.ReleaseTimeout), m.nextSubmitAt, m.backgroundDeadline}
	case stateRecording:
		return []time.Time{m.nextSubmitAt, m.backgroundDeadline}
	case stateRouting, stateSending, stateWaiting:
		return []time.Time{m.request.Deadline, m.nextHedgeAt(), m.nextRetryAt}
	default:
		return nil
	}
}
