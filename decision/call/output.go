package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Output is an action that the Machine's caller has to execute.
type Output interface{ output() }

// Submit requests a claim operation. Its result is passed as OperationAnswered
// or, unless Direct is set, as ForwardFailed.
type Submit struct {
	Operation claim.Operation
	// Direct means that the instance's own committer runs the operation instead
	// of the shard's owner.
	Direct bool
}

// RequestRoute requests a server. Its result is RouteChosen or RouteFailed.
type RequestRoute struct {
	Purpose serving.Purpose
	Exclude []string
}

// Dispatch sends the call to a server. Its end is passed as AttemptEnded.
type Dispatch struct {
	Attempt int
	Server  string
}

// Cancel cancels an attempt whose answer is no longer needed.
type Cancel struct{ Attempt int }

// Finish sends the answer to the caller. Fault is nil for a server's answer.
type Finish struct {
	Outcome  claim.Outcome
	Replayed bool
	Fault    *fault.Error
}

// Wake requests a Tick at the given time.
type Wake struct{ At time.Time }

func (Submit) output()       {}
func (RequestRoute) output() {}
func (Dispatch) output()     {}
func (Cancel) output()       {}
func (Finish) output()       {}
func (Wake) output()         {}
