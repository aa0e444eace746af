package generation

import (
	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Input is an event for a Machine.
type Input interface{ input() }

// Start begins the generation. It is the first input and is passed once.
type Start struct {
	// Cursor is the verified position of a reconnecting caller, nil for a new
	// request.
	Cursor *cursor.Position
	// Delivered holds the tokens up to the cursor, nil when they are not known.
	Delivered []string
}

// RouteChosen answers RequestRoute.
type RouteChosen struct {
	RouteNumber uint32
	Server      string
}

// RouteFailed answers RequestRoute when no server can be chosen.
type RouteFailed struct {
	RouteNumber uint32
	Fault       *fault.Error
}

// AttemptOpened holds what the engine stated before the first token.
type AttemptOpened struct {
	Attempt  uint32
	StreamID string
	BootID   string
	Version  string
	Seed     uint64
}

// Token is one token of an attempt's stream.
type Token struct {
	Attempt uint32
	Offset  int
	Text    string
}

// Done is the explicit end of an attempt's stream with the totals of the
// whole answer.
type Done struct {
	Attempt uint32
	Tokens  int
	Hash    rollinghash.Hash
}

// AttemptFailed ends an attempt without Done.
type AttemptFailed struct {
	Attempt uint32
	Reason  FailureReason
}

// CallerDisconnected reports that the caller's connection broke.
type CallerDisconnected struct{}

// CallerReconnected reports that the caller reconnected to another generation.
type CallerReconnected struct{}

// Tick reports that the time returned by Wake was reached.
type Tick struct{}

func (Start) input()              {}
func (RouteChosen) input()        {}
func (RouteFailed) input()        {}
func (AttemptOpened) input()      {}
func (Token) input()              {}
func (Done) input()               {}
func (AttemptFailed) input()      {}
func (CallerDisconnected) input() {}
func (CallerReconnected) input()  {}
func (Tick) input()               {}
