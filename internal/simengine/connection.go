package simengine

import (
	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// The faults of an engine occur once in so many tokens on average: a token is
// sent twice, omitted or followed by a false end. Once in duplicatesPerAlteration
// repetitions the repeated token has another text.
const (
	tokensPerDuplicate      = 8
	duplicatesPerAlteration = 16
	tokensPerFalseEnd       = 100
	tokensPerGap            = 15
)

// messageKind is the kind of a message from an engine.
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

// message is one message that an engine sends over a connection.
type message struct {
	kind   messageKind
	stream *stream
	offset int
	text   string
	hash   rollinghash.Hash
}

// connection connects one attempt of an instance with an engine.
type connection struct {
	instance *Instance
	engine   *Engine
	request  generation.OpenAttempt
	// streamID is the id of the engine's stream, empty until the instance
	// receives it.
	streamID   string
	nextOffset int
	silent     bool
	closed     bool
	// cancelled means that the stream is cancelled once its id is received.
	cancelled bool
	// shifted makes the connection send the token of the next offset.
	shifted bool
}

// send delivers a message to the instance unless the link is cut. A lost message
// makes the connection silent permanently, as a byte stream has no gaps.
func (c *connection) send(m message) {
	world := c.engine.world
	discarded := c.closed && (m.kind != messageOpened || !c.cancelled)
	if discarded || c.silent {
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
	text := s.tokens[c.nextOffset]
	if c.shifted {
		text = tokenAfter(s.seed, s.salt, s.hash)
	}
	m := message{kind: messageToken, offset: c.nextOffset, text: text}
	omitted := c.engine.Gaps && c.engine.world.Random.IntN(tokensPerGap) == 0
	if !omitted {
		c.send(m)
	}
	if !omitted && c.engine.Duplicates && c.engine.world.Random.IntN(tokensPerDuplicate) == 0 {
		if c.engine.world.Random.IntN(duplicatesPerAlteration) == 0 {
			m.text = "altered "
		}
		c.send(m)
	}
	if c.engine.FalseEnds && c.engine.world.Random.IntN(tokensPerFalseEnd) == 0 {
		c.send(message{kind: messageDone, offset: c.nextOffset + 1, hash: s.hash + 1})
	}
	c.nextOffset++
}

// input returns the machine's input for a message.
func (c *connection) input(m message) generation.Input {
	number := c.request.Attempt
	switch m.kind {
	case messageOpened:
		return generation.AttemptOpened{
			Attempt: number, StreamID: m.stream.id, BootID: m.stream.engine.bootID(),
			Version: m.stream.engine.servedVersion(), Seed: m.stream.seed,
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
