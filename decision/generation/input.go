package generation

import (
	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Input is one thing that happened.
type Input interface{ input() }

// Start begins the generation. It is the first input and comes once.
type Start struct {
	// Cursor is the verified position of a reconnecting caller, nil for a new
	// request.
	Cursor *cursor.Position
	// Delivered is the text up to the cursor, nil when it is not known.
	Delivered []string
}

// RouteChosen answers AskRoute.
type RouteChosen struct {
	RouteNumber uint32
	Server      string
}

// RouteFailed answers AskRoute when no server can be had.
type RouteFailed struct {
	RouteNumber uint32
	Fault       *fault.Error
}

// AttemptOpened says what the engine stated before its first token.
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

// Lost ends an attempt without Done.
type AttemptFailed struct {
	Attempt uint32
	Reason  FailureReason
}

// CallerGone says that the caller's connection broke.
type CallerDisconnected struct{}

// CallerBack says that the caller came back and another generation serves it.
type CallerReconnected struct{}

// Tick lets time pass.
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
