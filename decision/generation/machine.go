package generation

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
)

// maxOpen bounds the attempts that are open at a time.
const maxOpen = 4

// phase is where a generation is in its life.
type phase int

const (
	phaseNew phase = iota
	phaseRunning
	// phaseDetached waits for a caller whose connection broke.
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

	// pinned means that version and seed are fixed by a delivered token.
	pinned  bool
	begun   bool
	version string
	seed    uint64

	// source is the stream of the last delivered token.
	source      Stream
	sourceTried bool
	number      uint32
	ask         uint32
	asking      bool
	// avoid names servers that failed since the last progress.
	avoid []string
	// silent names servers that did not answer since the last progress.
	silent []string
	// noSecond means that no second server could be had beside a new stream.
	noSecond bool
	// failures counts attempts lost since the last progress.
	failures int
	retryAt  time.Duration
	// replayDiffers means that a replay produced another answer.
	replayDiffers bool
	// fromCursor means that the caller has a part of the answer.
	fromCursor bool
	mayHaveRun bool

	// cadence is that of the source's connection, kept for the next one.
	cadence     suspicion.IntervalEstimator
	broken      bool
	lastDeliver time.Duration
	graceEnd    time.Duration
}

// New returns a machine that waits for Start.
func New(config Config, random *rand.Rand) *Machine {
	return &Machine{config: config, random: random, answer: newAnswer(), version: config.Version, seed: config.Seed}
}

// Step takes one input and returns what to do, in order. The result is valid
// until the next call.
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
		if a := m.find(in.Attempt); a != nil {
			m.lose(now, a, in.Reason)
		}
	case CallerDisconnected:
		m.callerGone(now)
	case CallerReconnected:
		m.callerBack()
	case Tick:
		m.tick(now)
	}
	return m.outputs
}

// Wake returns when the next Tick is due; ok is false when none is.
func (m *Machine) Wake() (at time.Duration, ok bool) {
	switch m.phase {
	case phaseDetached:
		return m.graceEnd, true
	case phaseRunning:
		at = m.config.Deadline
		for _, a := range m.attempts {
			if !a.suspected {
				at = min(at, a.deadline)
			}
		}
		if m.retryAt > 0 {
			at = min(at, m.retryAt)
		}
		return at, true
	default:
		return 0, false
	}
}

// Ended reports whether nothing more will come out of the machine.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Offset returns the number of tokens that the caller has.
func (m *Machine) Offset() int { return m.answer.offset }

// Counters returns the work so far.
func (m *Machine) Counters() Counters { return m.counters }

// Position returns the caller's position.
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
		Attempt:      m.number,
		Offset:       m.answer.offset,
		Hash:         m.answer.hash,
		AnchorOffset: anchor.offset,
		AnchorHash:   anchor.hash,
	}
}

func (m *Machine) emit(output Output) { m.outputs = append(m.outputs, output) }

func (m *Machine) note(kind, reason, server string) {
	m.emit(RecordDecision{Kind: kind, Reason: reason, Server: server})
}

func (m *Machine) find(number uint32) *attempt {
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
