package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Output is one thing to do.
type Output interface{ output() }

// AskRoute asks for a server for the next attempt.
type RequestRoute struct {
	RouteNumber uint32
	Purpose     serving.Purpose
	// Version is pinned when it is set and a token was delivered.
	Version string
	// Exclude names servers with an open attempt, Avoid those that failed.
	Exclude []string
	Avoid   []string
	// AvoidNear names servers whose data centres may be cut off.
	AvoidNear []string
}

// OpenAttempt opens a connection to an engine.
type OpenAttempt struct {
	Attempt uint32
	Kind    AttemptKind
	Server  string
	// Ask is the route that is used; zero for a reattachment.
	RouteNumber uint32
	Version     string
	Seed        uint64
	// Stream and Offset say where a reattachment begins.
	Stream Stream
	Offset int
	// Prefix holds the delivered tokens of a continuation.
	Prefix []string
}

// CloseAttempt ends an attempt's connection.
type CloseAttempt struct {
	Attempt uint32
	// Cancel tells the engine to end the stream as well.
	Cancel  bool
	Outcome serving.AttemptOutcome
}

// CancelStream ends a stream to which no connection is open.
type CancelStream struct{ Stream Stream }

// Begin states what is pinned before the first token goes to the caller.
type Begin struct {
	Version string
	Seed    uint64
}

// Deliver sends one token to the caller.
type Deliver struct {
	Text string
	// Position is the caller's position after the token.
	Position cursor.Position
}

// Restart tells the caller to drop what it has.
type Restart struct{}

// Resumed reports that a broken answer goes on.
type Resumed struct {
	Kind    AttemptKind
	Latency time.Duration
}

// Retain offers the tokens of a broken answer to the store.
type Retain struct{ Tokens []string }

// Note explains a decision.
type RecordDecision struct {
	Kind   string
	Reason string
	Server string
}

// Finish ends a complete answer.
type Finish struct {
	Tokens int
	Hash   rollinghash.Hash
}

// Fail ends the generation with an error for the caller.
type Fail struct{ Fault *fault.Error }

// Release ends a generation whose caller is gone.
type Release struct{}

func (RequestRoute) output()   {}
func (OpenAttempt) output()    {}
func (CloseAttempt) output()   {}
func (CancelStream) output()   {}
func (Begin) output()          {}
func (Deliver) output()        {}
func (Restart) output()        {}
func (Resumed) output()        {}
func (Retain) output()         {}
func (RecordDecision) output() {}
func (Finish) output()         {}
func (Fail) output()           {}
func (Release) output()        {}
