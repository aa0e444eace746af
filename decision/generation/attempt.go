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
	// next and hash are the stream's position: the next offset it has to send
	// and the hash over everything before.
	next int
	hash rollinghash.Hash
	// verified means that the stream arrived at the delivered hash.
	verified bool
	opened   bool
	// produced means that the stream sent a token on this connection.
	produced bool
	// won means that a token of the attempt was delivered.
	won       bool
	suspected bool
	last      time.Duration
	deadline  time.Duration
	cadence   suspicion.Cadence
}

// active notes a token and moves the deadline.
func (a *attempt) active(now time.Duration, policy suspicion.Policy) {
	if a.produced {
		a.cadence.Observe(now - a.last)
	}
	a.produced = true
	a.suspected = false
	a.last = now
	a.deadline = now + a.cadence.Budget(policy)
}

// probing reports whether the attempt still looks for its old stream.
func (a *attempt) probing() bool { return a.kind == KindReattach && !a.produced }

// starting reports whether the attempt is a new stream without a token.
func (a *attempt) starting() bool { return a.kind != KindReattach && !a.produced }
