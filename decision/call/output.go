package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Output is one thing to do for a Machine's owner.
type Output interface{ output() }

// Submit asks for a claim operation. Its answer comes back as
// OperationAnswered or, unless Direct, as ForwardFailed.
type Submit struct {
	Operation claim.Operation
	// Direct demands the instance's own committer in place of the shard's
	// home.
	Direct bool
}

// PickServer asks for a server. Its answer is Routed or RouteFailed.
type RequestRoute struct {
	Purpose serving.Purpose
	Exclude []string
}

// Dispatch sends the call. Its end comes back as AttemptEnded.
type Dispatch struct {
	Attempt int
	Server  string
}

// Cancel ends an attempt whose answer is no longer needed.
type Cancel struct{ Attempt int }

// Finish is the caller's answer. Fault is nil for an answer of a server.
type Finish struct {
	Outcome  claim.Outcome
	Replayed bool
	Fault    *fault.Error
}

// Wake asks for a Tick at the given time.
type Wake struct{ At time.Time }

func (Submit) output()       {}
func (RequestRoute) output() {}
func (Dispatch) output()     {}
func (Cancel) output()       {}
func (Finish) output()       {}
func (Wake) output()         {}
