package generation

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// stoppedRetryAfter is the Retry-After sent with a stopped generation.
const stoppedRetryAfter = time.Second

// failStopped ends the generation with GenerationStopped and states the
// delivered part.
func (m *Machine) failStopped(reason string) {
	failure := fault.New(fault.GenerationIncomplete, reason+": "+m.deliveredPart())
	m.fail(failure.WithExecution(m.execution()).WithRetryAfter(stoppedRetryAfter))
}

// execution returns the known execution of a request that ends now.
func (m *Machine) execution() fault.Execution {
	switch {
	case m.answer.offset > 0:
		return fault.ExecutionPartial
	case m.mayHaveRun || len(m.attempts) > 0:
		return fault.ExecutionUnknown
	default:
		return m.notSentExecution()
	}
}

// notSentExecution returns the execution of a request that this instance sent to
// no server. Another instance may have run an earlier submission of its key.
func (m *Machine) notSentExecution() fault.Execution {
	if m.config.Keyed {
		return fault.ExecutionRefusedHere
	}
	return fault.ExecutionNotRun
}

// deliveredPart describes the delivered part of the answer for an error message.
func (m *Machine) deliveredPart() string {
	return "the caller received the first " + strconv.Itoa(m.answer.offset) + " tokens"
}

func (m *Machine) fail(failure *fault.Error) {
	m.closeAll(true)
	m.emitRetain()
	m.phase = phaseEnded
	m.recordDecision("fail", failure.Error(), "")
	m.emit(Fail{Fault: failure})
}

func (m *Machine) emitRetain() {
	if tokens, ok := m.answer.text(); ok && len(tokens) > 0 {
		m.emit(Retain{Tokens: tokens})
	}
}

// callerDisconnected ends the generation, or keeps the stream of a keyed caller
// for the grace period.
func (m *Machine) callerDisconnected(now time.Duration) {
	if m.phase != phaseRunning {
		return
	}
	keepStream := m.config.Keyed && m.config.Policy.GracePeriod > 0 && m.answer.offset > 0
	for len(m.attempts) > 0 {
		a := m.attempts[0]
		m.closeAttempt(a, !keepStream || a.stream != m.source, serving.OutcomeCancelled)
	}
	m.emitRetain()
	if !keepStream || m.source.ID == "" {
		m.release()
		return
	}
	m.phase = phaseDetached
	m.graceDeadline = now + m.config.Policy.GracePeriod
	m.recordDecision("detach", "the caller's connection broke; its stream is kept for the grace period", m.source.Server)
}

// endGracePeriod cancels the stream of a caller that did not reconnect in time.
func (m *Machine) endGracePeriod() {
	m.emit(CancelStream{Stream: m.source})
	m.recordDecision("cancel", "the caller did not reconnect within the grace period", m.source.Server)
	m.release()
}

func (m *Machine) callerReconnected() {
	if m.phase == phaseDetached {
		m.release()
	}
}

func (m *Machine) release() {
	m.phase = phaseEnded
	m.emit(Release{})
}
