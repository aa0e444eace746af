package call

import (
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Input is one event for a Machine.
type Input interface{ input() }

// Start begins the call.
type Start struct{}

// Tick lets time pass.
type Tick struct{}

// OperationAnswered is the answer to a Submit.
type OperationAnswered struct {
	ID      uint64
	Verdict claim.Result
	Outcome claim.Outcome
}

// ForwardFailed means that the shard's home could not be reached for a Submit.
type ForwardFailed struct{ ID uint64 }

// Routed is the server for the last PickServer.
type RouteChosen struct{ Server string }

// RouteFailed means that the last PickServer found no server.
type RouteFailed struct{ Fault *fault.Error }

// AttemptEnded is the end of a Dispatch.
type AttemptEnded struct {
	Attempt int
	Ending  Ending
	// Outcome is set when the ending is Answered.
	Outcome claim.Outcome
}

// Ending is how an attempt ended.
type Ending uint8

// The endings of an attempt.
const (
	// NeverSent means that no byte of the call was sent.
	NeverSent Ending = iota
	// Answered means that the server's answer was received and matched.
	Answered
	// Lost means that the call was sent, perhaps in part, without an answer.
	Unanswered
)

func (Start) input()             {}
func (Tick) input()              {}
func (OperationAnswered) input() {}
func (ForwardFailed) input()     {}
func (RouteChosen) input()       {}
func (RouteFailed) input()       {}
func (AttemptEnded) input()      {}
