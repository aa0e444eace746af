package generation

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// retryAdvice is the Retry-After sent with a stopped generation.
const retryAdvice = time.Second

// stop ends the generation with GenerationStopped and states the delivered part.
func (m *Machine) stop(reason string) {
	failure := fault.New(fault.GenerationStopped, reason+": "+m.has())
	m.fail(failure.WithExecution(m.execution()).WithRetryAfter(retryAdvice))
}

// execution returns the known execution of a request that ends now.
func (m *Machine) execution() fault.Execution {
	switch {
	case m.answer.offset > 0:
		return fault.ExecutionPartial
	case m.mayHaveRun || len(m.attempts) > 0:
		return fault.ExecutionUnknown
	default:
		return m.nothingSent()
	}
}

// nothingSent returns the execution of a request that this instance sent to no
// server. Another instance may have run an earlier submission of its key.
func (m *Machine) nothingSent() fault.Execution {
	if m.config.Keyed {
		return fault.ExecutionRefusedHere
	}
	return fault.ExecutionNotRun
}

// has describes the delivered part of the answer for an error message.
func (m *Machine) has() string {
	return "the caller received the first " + strconv.Itoa(m.answer.offset) + " tokens"
}

func (m *Machine) fail(failure *fault.Error) {
	m.closeAll(true)
	m.retain()
	m.phase = phaseEnded
	m.note("fail", failure.Error(), "")
	m.emit(Fail{Fault: failure})
}

func (m *Machine) retain() {
	if tokens, ok := m.answer.text(); ok && len(tokens) > 0 {
		m.emit(Retain{Tokens: tokens})
	}
}

// callerGone ends the generation, or keeps the stream of a keyed caller for the
// grace period.
func (m *Machine) callerGone(now time.Duration) {
	if m.phase != phaseRunning {
		return
	}
	keep := m.config.Keyed && m.config.Policy.GracePeriod > 0 && m.answer.offset > 0
	for len(m.attempts) > 0 {
		a := m.attempts[0]
		m.close(a, !keep || a.stream != m.source, serving.OutcomeCancelled)
	}
	m.retain()
	if !keep || m.source.ID == "" {
		m.release()
		return
	}
	m.phase = phaseDetached
	m.graceEnd = now + m.config.Policy.GracePeriod
	m.note("detach", "the caller's connection broke; its stream is kept for the grace period", m.source.Server)
}

// endGrace cancels the stream of a caller that did not reconnect in time.
func (m *Machine) endGrace() {
	m.emit(CancelStream{Stream: m.source})
	m.note("cancel", "the caller did not reconnect within the grace period", m.source.Server)
	m.release()
}

func (m *Machine) callerBack() {
	if m.phase == phaseDetached {
		m.release()
	}
}

func (m *Machine) release() {
	m.phase = phaseEnded
	m.emit(Release{})
}
