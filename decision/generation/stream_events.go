package generation

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// attemptOpened compares what the engine states with what is expected.
func (m *Machine) attemptOpened(now time.Duration, in AttemptOpened) {
	a := m.findAttempt(in.Attempt)
	if a == nil {
		return
	}
	stream := Stream{Server: a.stream.Server, ID: in.StreamID, BootID: in.BootID}
	if a.opened && a.stream != stream {
		m.failAttempt(now, a, FailureProtocol)
		return
	}
	if a.kind == KindReattach && stream != a.stream {
		m.failAttempt(now, a, FailureUnknownStream)
		return
	}
	otherVersion := m.version != "" && in.Version != m.version
	if otherVersion || (m.pinned && in.Seed != m.seed) {
		m.failAttempt(now, a, FailureProtocol)
		return
	}
	a.opened = true
	a.stream = stream
	a.version, a.seed = in.Version, in.Seed
	m.mayHaveRun = true
	if m.answer.offset == 0 && m.source.ID == "" {
		m.source = stream
	}
}

// token processes one token of a stream.
func (m *Machine) token(now time.Duration, in Token) {
	a := m.findAttempt(in.Attempt)
	if a == nil {
		m.counters.Discarded++
		return
	}
	if in.Offset < a.nextOffset && (a.repeatsLastToken(in) || m.wasDelivered(in.Offset, in.Text)) {
		m.counters.Resent++
		return
	}
	if in.Offset != a.nextOffset || !a.opened {
		m.failAttempt(now, a, FailureProtocol)
		return
	}
	a.nextOffset++
	a.hash = a.hash.Extend(in.Text)
	a.lastToken = in.Text
	a.recordToken(now, m.config.Policy.Silence, a.kind == KindReattach && a.nextOffset <= m.answer.offset)
	if a.nextOffset > m.answer.offset {
		m.deliver(now, a, in.Text)
		return
	}
	m.verifyRepeated(now, a)
}

// wasDelivered reports whether the token is known to be at the offset.
func (m *Machine) wasDelivered(offset int, text string) bool {
	tokens, ok := m.answer.text()
	return ok && offset >= 0 && offset < len(tokens) && tokens[offset] == text
}

// verifyRepeated compares a stream that repeats the delivered part with its hash.
func (m *Machine) verifyRepeated(now time.Duration, a *attempt) {
	if a.kind == KindReplay {
		m.counters.Recomputed++
	} else {
		m.counters.Resent++
	}
	if a.nextOffset < m.answer.offset {
		return
	}
	if a.hash != m.answer.hash {
		m.rejectStream(now, a)
		return
	}
	a.verified = true
}

// rejectStream closes a stream whose tokens are not the delivered ones.
func (m *Machine) rejectStream(now time.Duration, a *attempt) {
	if a.kind == KindReplay {
		m.replayDiffers = true
	}
	m.failAttempt(now, a, FailureProtocol)
}

// deliver sends a new token to the caller. Its attempt is kept and all others
// are closed.
func (m *Machine) deliver(now time.Duration, a *attempt, text string) {
	m.selectAttempt(now, a)
	m.answer.add(text)
	m.counters.Delivered++
	m.lastDeliveredAt = now
	m.sourceIntervals = a.intervals
	m.emit(Deliver{Text: text, Position: m.Position()})
}

// selectAttempt makes an attempt the only one and resets the failure state.
func (m *Machine) selectAttempt(now time.Duration, a *attempt) {
	if !m.pinned {
		m.pinned = true
		m.version, m.seed = a.version, a.seed
	}
	m.emitBegin()
	if m.interrupted {
		m.interrupted = false
		m.emit(Resumed{Kind: a.kind, Latency: now - m.lastDeliveredAt})
		m.recordDecision("resumed", "the answer was resumed: "+string(a.kind), a.stream.Server)
	}
	a.hasDelivered = true
	m.awaitingRoute = false
	m.nextRetryAt = 0
	m.failures = 0
	m.avoid, m.stalledServers = nil, nil
	m.reattachTried, m.noSecondServer = false, false
	previous := m.source
	m.source = a.stream
	if len(m.attempts) == 1 && previous == a.stream {
		return
	}
	m.closeOthers(a, previous)
}

// closeOthers cancels every stream but that of the attempt that was kept.
func (m *Machine) closeOthers(kept *attempt, previous Stream) {
	previousClosed := false
	for _, other := range slices.Clone(m.attempts) {
		if other == kept {
			continue
		}
		previousClosed = previousClosed || other.stream == previous
		m.closeAttempt(other, true, serving.OutcomeCancelled)
	}
	if previous.ID != "" && previous != kept.stream && !previousClosed {
		m.emit(CancelStream{Stream: previous})
	}
}

func (m *Machine) emitBegin() {
	if m.beginSent {
		return
	}
	m.beginSent = true
	m.emit(Begin{Version: m.version, Seed: m.seed})
}

// done processes the explicit end of a stream.
func (m *Machine) done(now time.Duration, in Done) {
	a := m.findAttempt(in.Attempt)
	if a == nil {
		return
	}
	switch {
	case !a.opened:
		m.failAttempt(now, a, FailureProtocol)
	case !a.verified:
		m.rejectStream(now, a)
	case in.Tokens > a.nextOffset:
		m.failAttempt(now, a, FailureBroken)
	case in.Tokens == a.nextOffset && in.Hash == a.hash:
		m.finish(now, a)
	case a.hasDelivered:
		m.recordDecision("mismatch", "the token count or hash at the end of the stream differs from the tokens sent", a.stream.Server)
		m.counters.ProtocolViolations++
		m.endOrRestart(now)
	default:
		m.failAttempt(now, a, FailureProtocol)
	}
}

func (m *Machine) finish(now time.Duration, a *attempt) {
	m.selectAttempt(now, a)
	m.closeAttempt(a, false, serving.OutcomeSucceeded)
	m.phase = phaseEnded
	m.emit(Finish{Tokens: m.answer.offset, Hash: m.answer.hash})
}

// endOrRestart ends or restarts an answer whose delivered part can't be continued.
func (m *Machine) endOrRestart(now time.Duration) {
	if m.config.OnMismatch != serving.OnMismatchRestart {
		m.fail(fault.New(fault.GenerationMismatch, "the engine produced a different answer: "+m.deliveredPart()).WithExecution(fault.ExecutionPartial))
		return
	}
	m.closeAll(true)
	m.counters.Discarded += m.answer.offset
	m.answer = newAnswer()
	m.source = Stream{}
	m.replayDiffers = false
	m.awaitingRoute = false
	m.interrupted = true
	m.emitBegin()
	m.emit(Restart{})
	m.recordDecision("restart", "the answer restarts from its first token", "")
	m.startMissingAttempts(now)
}
