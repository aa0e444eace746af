package generation

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
)

// maxOpenAttempts is the maximum number of attempts open at a time.
const maxOpenAttempts = 4

// phase is the stage of a generation's life cycle.
type phase int

const (
	phaseNew phase = iota
	phaseRunning
	// phaseDetached waits for a caller whose connection broke to reconnect.
	phaseDetached
	phaseEnded
)

// Machine is the state of one generation. It is not safe for concurrent use.
type Machine struct {
	config   Config
	random   *rand.Rand
	phase    phase
	answer   answer
	attempts []*attempt
	counters Counters
	outputs  []Output

	// pinned means that a delivered token or a cursor fixed version and seed.
	pinned    bool
	beginSent bool
	version   string
	seed      uint64

	// source is the stream of the last delivered token, or the first one opened.
	source          Stream
	reattachTried   bool
	lastAttempt     uint32
	lastRouteNumber uint32
	awaitingRoute   bool
	// avoid names servers that failed since the last delivered token.
	avoid []string
	// stalledServers names servers of stalled attempts that were closed since the
	// last delivered token.
	stalledServers []string
	// noSecondServer means that no server was available for a parallel new stream.
	noSecondServer bool
	// failures counts attempts that failed since the last delivered token.
	failures    int
	nextRetryAt time.Duration
	// replayDiffers means that a replay produced other tokens than the delivered.
	replayDiffers bool
	// fromCursor means that the generation started at a caller's cursor.
	fromCursor bool
	mayHaveRun bool

	// sourceIntervals holds the token intervals of the source's connection, kept
	// for the next attempt.
	sourceIntervals suspicion.IntervalEstimator
	interrupted     bool
	lastDeliveredAt time.Duration
	graceDeadline   time.Duration
}

// New returns a machine that waits for Start.
func New(config Config, random *rand.Rand) *Machine {
	return &Machine{config: config, random: random, answer: newAnswer(), version: config.Version, seed: config.Seed}
}

// Step processes one input and returns the outputs to execute, in order. The
// result is valid until the next call.
func (m *Machine) Step(now time.Duration, input Input) []Output {
	m.outputs = m.outputs[:0]
	switch in := input.(type) {
	case Start:
		m.start(now, in)
	case RouteChosen:
		m.routeChosen(now, in)
	case RouteFailed:
		m.routeFailed(now, in)
	case AttemptOpened:
		m.attemptOpened(now, in)
	case Token:
		m.token(now, in)
	case Done:
		m.done(now, in)
	case AttemptFailed:
		if a := m.findAttempt(in.Attempt); a != nil {
			m.failAttempt(now, a, in.Reason)
		}
	case CallerDisconnected:
		m.callerDisconnected(now)
	case CallerReconnected:
		m.callerReconnected()
	case Tick:
		m.tick(now)
	}
	return m.outputs
}

// Wake returns the time of the next Tick. ok is false when none is needed.
func (m *Machine) Wake() (at time.Duration, ok bool) {
	switch m.phase {
	case phaseDetached:
		return m.graceDeadline, true
	case phaseRunning:
		at = m.config.Deadline
		for _, a := range m.attempts {
			if !a.stalled {
				at = min(at, a.deadline)
			}
		}
		if m.nextRetryAt > 0 {
			at = min(at, m.nextRetryAt)
		}
		return at, true
	default:
		return 0, false
	}
}

// Ended reports whether the generation ended: no more output follows.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Offset returns the number of delivered tokens.
func (m *Machine) Offset() int { return m.answer.offset }

// Counters returns the counters of the work so far.
func (m *Machine) Counters() Counters { return m.counters }

// Position returns the caller's position in the answer.
func (m *Machine) Position() cursor.Position {
	anchor := m.answer.anchor()
	return cursor.Position{
		Request:      m.config.Request,
		Server:       m.source.Server,
		StreamID:     m.source.ID,
		BootID:       m.source.BootID,
		Model:        m.config.Model,
		Version:      m.version,
		Seed:         m.seed,
		Attempt:      m.lastAttempt,
		Offset:       m.answer.offset,
		Hash:         m.answer.hash,
		AnchorOffset: anchor.offset,
		AnchorHash:   anchor.hash,
	}
}

func (m *Machine) emit(output Output) { m.outputs = append(m.outputs, output) }

func (m *Machine) recordDecision(kind, reason, server string) {
	m.emit(RecordDecision{Kind: kind, Reason: reason, Server: server})
}

func (m *Machine) findAttempt(number uint32) *attempt {
	if m.phase != phaseRunning {
		return nil
	}
	for _, a := range m.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}
