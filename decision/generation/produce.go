package generation

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// attemptOpened checks what the engine states against what is pinned.
func (m *Machine) attemptOpened(now time.Duration, in AttemptOpened) {
	a := m.find(in.Attempt)
	if a == nil {
		return
	}
	stream := Stream{Server: a.stream.Server, ID: in.StreamID, BootID: in.BootID}
	if a.opened && a.stream != stream {
		m.lose(now, a, FailureProtocol)
		return
	}
	if a.kind == KindReattach && stream != a.stream {
		m.lose(now, a, FailureUnknownStream)
		return
	}
	otherVersion := m.version != "" && in.Version != m.version
	if otherVersion || (m.pinned && in.Seed != m.seed) {
		m.lose(now, a, FailureProtocol)
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

// token takes one token of a stream.
func (m *Machine) token(now time.Duration, in Token) {
	a := m.find(in.Attempt)
	if a == nil {
		m.counters.Discarded++
		return
	}
	if in.Offset < a.next && (a.repeats(in) || m.delivered(in.Offset, in.Text)) {
		m.counters.Resent++
		return
	}
	if in.Offset != a.next || !a.opened {
		m.lose(now, a, FailureProtocol)
		return
	}
	a.next++
	a.hash = a.hash.Extend(in.Text)
	a.newest = in.Text
	a.active(now, m.config.Policy.Silence, a.kind == KindReattach && a.next <= m.answer.offset)
	if a.next > m.answer.offset {
		m.deliver(now, a, in.Text)
		return
	}
	m.verify(now, a)
}

// delivered reports whether the token is known to be at the offset.
func (m *Machine) delivered(offset int, text string) bool {
	tokens, ok := m.answer.text()
	return ok && offset >= 0 && offset < len(tokens) && tokens[offset] == text
}

// verify compares a stream that repeats the delivered part.
func (m *Machine) verify(now time.Duration, a *attempt) {
	if a.kind == KindReplay {
		m.counters.Recomputed++
	} else {
		m.counters.Resent++
	}
	if a.next < m.answer.offset {
		return
	}
	if a.hash != m.answer.hash {
		m.differs(now, a)
		return
	}
	a.verified = true
}

// differs drops a stream whose tokens are not the delivered ones.
func (m *Machine) differs(now time.Duration, a *attempt) {
	if a.kind == KindReplay {
		m.replayDiffers = true
	}
	m.lose(now, a, FailureProtocol)
}

// deliver sends a new token to the caller; its attempt wins over all others.
func (m *Machine) deliver(now time.Duration, a *attempt, text string) {
	m.win(now, a)
	m.answer.add(text)
	m.counters.Delivered++
	m.lastDeliver = now
	m.cadence = a.cadence
	m.emit(Deliver{Text: text, Position: m.Position()})
}

// win makes an attempt the only one.
func (m *Machine) win(now time.Duration, a *attempt) {
	if !m.pinned {
		m.pinned = true
		m.version, m.seed = a.version, a.seed
	}
	m.begin()
	if m.broken {
		m.broken = false
		m.emit(Resumed{Kind: a.kind, Latency: now - m.lastDeliver})
		m.note("resumed", "the answer goes on: "+string(a.kind), a.stream.Server)
	}
	a.won = true
	m.asking = false
	m.retryAt = 0
	m.failures = 0
	m.avoid, m.silent = nil, nil
	m.sourceTried, m.noSecond = false, false
	previous := m.source
	m.source = a.stream
	if len(m.attempts) == 1 && previous == a.stream {
		return
	}
	m.dropOthers(a, previous)
}

// dropOthers cancels every stream but the winner's.
func (m *Machine) dropOthers(winner *attempt, previous Stream) {
	open := false
	for _, other := range slices.Clone(m.attempts) {
		if other == winner {
			continue
		}
		open = open || other.stream == previous
		m.close(other, true, serving.OutcomeCancelled)
	}
	if previous.ID != "" && previous != winner.stream && !open {
		m.emit(CancelStream{Stream: previous})
	}
}

func (m *Machine) begin() {
	if m.begun {
		return
	}
	m.begun = true
	m.emit(Begin{Version: m.version, Seed: m.seed})
}

// done takes the explicit end of a stream.
func (m *Machine) done(now time.Duration, in Done) {
	a := m.find(in.Attempt)
	if a == nil {
		return
	}
	switch {
	case !a.opened:
		m.lose(now, a, FailureProtocol)
	case !a.verified:
		m.differs(now, a)
	case in.Tokens > a.next:
		m.lose(now, a, FailureBroken)
	case in.Tokens == a.next && in.Hash == a.hash:
		m.finish(now, a)
	case a.won:
		m.note("mismatch", "the engine ended another answer than it sent", a.stream.Server)
		m.counters.ProtocolViolations++
		m.mismatch(now)
	default:
		m.lose(now, a, FailureProtocol)
	}
}

func (m *Machine) finish(now time.Duration, a *attempt) {
	m.win(now, a)
	m.close(a, false, serving.OutcomeSucceeded)
	m.phase = phaseEnded
	m.emit(Finish{Tokens: m.answer.offset, Hash: m.answer.hash})
}

// mismatch ends or restarts an answer whose delivered part can't be continued.
func (m *Machine) mismatch(now time.Duration) {
	if m.config.OnMismatch != serving.OnMismatchRestart {
		m.fail(fault.New(fault.GenerationMismatch, "another answer was produced: "+m.has()).WithExecution(fault.ExecutionPartial))
		return
	}
	m.closeAll(true)
	m.counters.Discarded += m.answer.offset
	m.answer = newAnswer()
	m.source = Stream{}
	m.replayDiffers = false
	m.asking = false
	m.broken = true
	m.begin()
	m.emit(Restart{})
	m.note("restart", "the answer starts again from its first token", "")
	m.plan(now)
}
