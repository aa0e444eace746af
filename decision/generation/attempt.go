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
	// nextOffset is the offset of the next token that the stream has to send,
	// hash the hash over all tokens before it.
	nextOffset int
	hash       rollinghash.Hash
	// lastToken is the last token received on this connection.
	lastToken string
	// verified means that the stream's hash reached the delivered hash.
	verified bool
	opened   bool
	version  string
	seed     uint64
	// produced means that a token was received on this connection.
	produced bool
	// hasDelivered means that a token of the attempt was delivered.
	hasDelivered bool
	// stalled means that the deadline passed without a token.
	stalled bool
	// retryAllowed means that the server may be chosen again, as no other is left.
	retryAllowed bool
	// lastTokenAt is the time of the last token, or of the opening before one.
	lastTokenAt time.Duration
	deadline    time.Duration
	intervals   suspicion.IntervalEstimator
}

// recordToken records a token and moves the deadline. Tokens that an engine
// sends again from its memory don't show its token interval.
func (a *attempt) recordToken(now time.Duration, policy suspicion.Policy, resent bool) {
	if a.produced && !resent {
		a.intervals.Observe(now - a.lastTokenAt)
	}
	a.produced = true
	a.stalled = false
	a.lastTokenAt = now
	a.deadline = now + a.intervals.SilenceTimeout(policy)
}

// repeatsLastToken reports whether the token is a duplicate of the last one.
func (a *attempt) repeatsLastToken(in Token) bool {
	return a.produced && in.Offset == a.nextOffset-1 && in.Text == a.lastToken
}

// probing reports whether the attempt is a reattachment without a token yet.
func (a *attempt) probing() bool { return a.kind == KindReattach && !a.produced }

// awaitsFirstToken reports whether the attempt is a new stream without a token yet.
func (a *attempt) awaitsFirstToken() bool { return a.kind != KindReattach && !a.produced }
