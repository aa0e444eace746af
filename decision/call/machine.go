package call

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// state is the stage of a call.
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
	// Request notes a first attempt.
	RecordRequest()
	// Take takes one retry and reports whether there was one.
	Take() bool
}

// Machine decides the course of one call. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	request  Request
	random   *rand.Rand
	budget   Budget

	state     state
	started   time.Time
	finished  bool
	operation uint64
	forwarded bool
	// claims are the claim submissions that have no answer yet.
	claims map[uint64]bool
	// unresolved means that a claim submission ended with nothing known.
	unresolved bool
	// refusal is answered when the release is settled.
	refusal       *fault.Error
	releaseSince  time.Time
	backgroundEnd time.Time
	resubmitAt    time.Time
	outcome       claim.Outcome
	unsettled     bool

	attempts int
	running  map[int]string
	tried    []string
	sent     bool
	hedged   bool
	retryAt  time.Time
	purpose  serving.Purpose
	outputs  []Output
}

// New returns the machine of one call. The budget is shared by the calls of an
// instance and may be nil unless the mode is ModeIdempotent.
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

// Done reports whether the call is answered and nothing is left to do.
func (m *Machine) Done() bool { return m.state == stateDone }

// Settled reports whether a finished machine left nothing open: false when an
// outcome could not be recorded or a claim could not be released in time.
func (m *Machine) ClaimCompleted() bool { return !m.unsettled }

// Recording reports whether the last thing the machine did was to record an
// outcome.
func (m *Machine) RecordsOutcome() bool { return m.outcome.Status != 0 }

// Step takes one input at the given time and returns what to do.
func (m *Machine) Step(now time.Time, input Input) []Output {
	m.outputs = nil
	if m.state != 0 {
		m.passTime(now)
	}
	switch input := input.(type) {
	case Start:
		m.start(now)
	case OperationAnswered:
		m.operationAnswered(now, input)
	case ForwardFailed:
		m.forwardFailed(now, input)
	case RouteChosen:
		m.routed(now, input)
	case RouteFailed:
		m.routeFailed(now, input)
	case AttemptEnded:
		m.attemptEnded(now, input)
	case Tick:
	}
	m.wake(now)
	return m.outputs
}

func (m *Machine) start(now time.Time) {
	m.started = now
	m.purpose = serving.PurposeFirst
	if m.request.Mode == ModeClaimed {
		m.state = stateClaiming
		m.submitClaim(now, false)
		return
	}
	if m.request.Mode == ModeIdempotent {
		m.budget.RecordRequest()
	}
	m.route()
}

// passTime lets the timers run that are due.
func (m *Machine) passTime(now time.Time) {
	switch m.state {
	case stateClaiming:
		m.claimingPasses(now)
	case stateReleasing:
		m.releasingPasses(now)
	case stateRecording:
		m.recordingPasses(now)
	case stateRouting, stateSending, stateWaiting:
		m.attemptsPass(now)
	}
}

// emit adds an output.
func (m *Machine) emit(output Output) { m.outputs = append(m.outputs, output) }

// finish answers the caller once.
func (m *Machine) finish(answer Finish) {
	if !m.finished {
		m.finished = true
		m.emit(answer)
	}
}

// refuse answers the caller with a failure.
func (m *Machine) refuse(failure *fault.Error) {
	if failure.RetryAfter == 0 {
		failure = failure.WithRetryAfter(m.settings.RetryAfter)
	}
	m.finish(Finish{Fault: failure})
}

// route asks for a server that was not tried yet.
func (m *Machine) route() {
	m.state = stateRouting
	m.emit(RequestRoute{Purpose: m.purpose, Exclude: append([]string(nil), m.tried...)})
}

// wake asks for the next tick.
func (m *Machine) wake(now time.Time) {
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

// timers returns the times at which the present state changes by itself.
func (m *Machine) timers() []time.Time {
	switch m.state {
	case stateClaiming:
		return []time.Time{
			m.started.Add(m.settings.ForwardTimeout),
			m.started.Add(m.settings.ClaimTimeout),
			m.request.Deadline,
		}
	case stateReleasing:
		return []time.Time{m.releaseSince.Add(m.settings.ReleaseTimeout), m.resubmitAt, m.backgroundEnd}
	case stateRecording:
		return []time.Time{m.resubmitAt, m.backgroundEnd}
	case stateRouting, stateSending, stateWaiting:
		return []time.Time{m.request.Deadline, m.hedgeAt(), m.retryAt}
	default:
		return nil
	}
}
