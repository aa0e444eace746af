package simengine

import (
	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// One in so many tokens is sent twice, left out or followed by a false end by
// a faulty engine; one in so many repetitions is altered.
const (
	duplicateChance = 8
	alteredChance   = 16
	falseEndChance  = 100
	gapChance       = 15
)

// messageKind tells the messages of a connection apart.
type messageKind int

const (
	messageOpened messageKind = iota
	messageToken
	messageDone
	messageBroken
	messageRefused
	messageUnreachable
	messageUnknown
)

// message is what an engine sends over a connection.
type message struct {
	kind   messageKind
	stream *stream
	offset int
	text   string
	hash   rollinghash.Hash
}

// connection joins one attempt of an instance with an engine.
type connection struct {
	instance *Instance
	engine   *Engine
	request  generation.OpenAttempt
	// streamID is what the instance knows of the engine's stream.
	streamID string
	next     int
	silent   bool
	closed   bool
	// cancelled means that the stream is to be cancelled once it is known.
	cancelled bool
	// shifted makes the connection send the token of the next offset.
	shifted bool
}

// send brings a message to the instance unless the connection lost it. A lost
// message makes the connection silent for good, as nothing follows a gap.
func (c *connection) send(m message) {
	world := c.engine.world
	unwanted := c.closed && (m.kind != messageOpened || !c.cancelled)
	if unwanted || c.silent {
		return
	}
	if !world.connected(c.instance.Place, c.engine.Place) {
		c.silent = true
		return
	}
	world.After(world.Latency(c.instance.Place, c.engine.Place), func() { c.instance.receive(c, m) })
}

func (c *connection) sendOpened(s *stream) { c.send(message{kind: messageOpened, stream: s}) }

func (c *connection) sendToken(s *stream) {
	text := s.tokens[c.next]
	if c.shifted {
		text = tokenAfter(s.seed, s.salt, s.hash)
	}
	m := message{kind: messageToken, offset: c.next, text: text}
	left := c.engine.Gaps && c.engine.world.Random.IntN(gapChance) == 0
	if !left {
		c.send(m)
	}
	if !left && c.engine.Duplicates && c.engine.world.Random.IntN(duplicateChance) == 0 {
		if c.engine.world.Random.IntN(alteredChance) == 0 {
			m.text = "altered "
		}
		c.send(m)
	}
	if c.engine.FalseEnds && c.engine.world.Random.IntN(falseEndChance) == 0 {
		c.send(message{kind: messageDone, offset: c.next + 1, hash: s.hash + 1})
	}
	c.next++
}

// input translates a message for the machine.
func (c *connection) input(m message) generation.Input {
	number := c.request.Attempt
	switch m.kind {
	case messageOpened:
		return generation.AttemptOpened{
			Attempt: number, StreamID: m.stream.id, BootID: m.stream.engine.bootID(),
			Version: m.stream.engine.loaded(), Seed: m.stream.seed,
		}
	case messageToken:
		return generation.Token{Attempt: number, Offset: m.offset, Text: m.text}
	case messageDone:
		return generation.Done{Attempt: number, Tokens: m.offset, Hash: m.hash}
	case messageRefused:
		return generation.AttemptFailed{Attempt: number, Reason: generation.FailureRefused}
	case messageUnreachable:
		return generation.AttemptFailed{Attempt: number, Reason: generation.FailureUnreachable}
	case messageUnknown:
		return generation.AttemptFailed{Attempt: number, Reason: generation.FailureUnknownStream}
	default:
		return generation.AttemptFailed{Attempt: number, Reason: generation.FailureBroken}
	}
}
