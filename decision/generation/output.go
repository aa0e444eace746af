package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Output is an action that the caller of the package has to execute.
type Output interface{ output() }

// RequestRoute requests a server for the next attempt.
type RequestRoute struct {
	RouteNumber uint32
	Purpose     serving.Purpose
	// Version is pinned when it is set and a token was delivered.
	Version string
	// Exclude names servers with an open attempt, Avoid failed or stalled ones.
	Exclude []string
	Avoid   []string
	// AvoidNear names servers whose data centres may be unreachable.
	AvoidNear []string
}

// OpenAttempt opens a connection to an engine.
type OpenAttempt struct {
	Attempt uint32
	Kind    AttemptKind
	Server  string
	// RouteNumber names the route that is used; zero for a reattachment.
	RouteNumber uint32
	Version     string
	Seed        uint64
	// Stream and Offset are the start of a reattachment.
	Stream Stream
	Offset int
	// Prefix holds the delivered tokens that a continuation starts from.
	Prefix []string
}

// CloseAttempt ends an attempt's connection.
type CloseAttempt struct {
	Attempt uint32
	// Cancel means that the engine's stream is cancelled too.
	Cancel  bool
	Outcome serving.AttemptOutcome
}

// CancelStream cancels a stream to which no connection is open.
type CancelStream struct{ Stream Stream }

// Begin sends the pinned version and seed to the caller, before the first token.
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

// Restart tells the caller to discard the tokens that it received.
type Restart struct{}

// Resumed reports that an interrupted answer was resumed.
type Resumed struct {
	Kind AttemptKind
	// Latency is the time since the last delivered token or the start.
	Latency time.Duration
}

// Retain offers the tokens of an interrupted answer to the retention store.
type Retain struct{ Tokens []string }

// RecordDecision records a decision and its reason.
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

// Release ends a generation whose caller's connection broke.
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
