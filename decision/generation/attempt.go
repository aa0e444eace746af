package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// attempt is one open connection to an engine.
type attempt struct {
	number uint32
	kind   AttemptKind
	stream Stream
	// next is the offset of the next token that the stream has to send, hash
	// the hash over all tokens before it.
	next int
	hash rollinghash.Hash
	// newest is the last token received on this connection.
	newest string
	// verified means that the stream's hash reached the delivered hash.
	verified bool
	opened   bool
	version  string
	seed     uint64
	// produced means that a token was received on this connection.
	produced bool
	// won means that a token of the attempt was delivered.
	won       bool
	suspected bool
	// excused means that its server may be chosen again, as no other is left.
	excused  bool
	last     time.Duration
	deadline time.Duration
	cadence  suspicion.Cadence
}

// active records a token and moves the deadline. Tokens that an engine sends
// again from its memory don't show its token interval.
func (a *attempt) active(now time.Duration, policy suspicion.Policy, resent bool) {
	if a.produced && !resent {
		a.cadence.Observe(now - a.last)
	}
	a.produced = true
	a.suspected = false
	a.last = now
	a.deadline = now + a.cadence.Budget(policy)
}

// repeats reports whether the token is a duplicate of the last one received.
func (a *attempt) repeats(in Token) bool {
	return a.produced && in.Offset == a.next-1 && in.Text == a.newest
}

// probing reports whether the attempt is a reattachment without a token yet.
func (a *attempt) probing() bool { return a.kind == KindReattach && !a.produced }

// starting reports whether the attempt is a new stream without a token yet.
func (a *attempt) starting() bool { return a.kind != KindReattach && !a.produced }
