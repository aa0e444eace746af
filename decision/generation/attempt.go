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
	// newest is the token before next, once the connection sent one.
	newest string
	// verified means that the stream arrived at the delivered hash.
	verified bool
	opened   bool
	version  string
	seed     uint64
	// produced means that the stream sent a token on this connection.
	produced bool
	// won means that a token of the attempt was delivered.
	won       bool
	suspected bool
	// excused means that its server may be asked again, as no other is left.
	excused  bool
	last     time.Duration
	deadline time.Duration
	cadence  suspicion.IntervalEstimator
}

// active notes a token and moves the deadline. Tokens that an engine sends
// again from its memory say nothing about its cadence.
func (a *attempt) active(now time.Duration, policy suspicion.Policy, resent bool) {
	if a.produced && !resent {
		a.cadence.Observe(now - a.last)
	}
	a.produced = true
	a.suspected = false
	a.last = now
	a.deadline = now + a.cadence.SilenceTimeout(policy)
}

// repeats reports whether the token is the newest one again.
func (a *attempt) repeats(in Token) bool {
	return a.produced && in.Offset == a.next-1 && in.Text == a.newest
}

// probing reports whether the attempt still looks for its old stream.
func (a *attempt) probing() bool { return a.kind == KindReattach && !a.produced }

// starting reports whether the attempt is a new stream without a token.
func (a *attempt) starting() bool { return a.kind != KindReattach && !a.produced }
