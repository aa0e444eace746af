package claim

import "time"

// Output is one action that the caller of a Committer carries out.
type Output interface{ output() }

// Read requests an object. Its result is submitted as ReadDone.
type Read struct {
	Ticket uint64
	Key    string
}

// Write requests a conditional write. Its result is submitted as WriteDone.
type Write struct {
	Ticket uint64
	Key    string
	Value  []byte
	// Absent requires that the object does not exist; otherwise it must have
	// Version.
	Absent  bool
	Version uint64
}

// Delete requests the removal of an object that nothing refers to. It has no
// result.
type Delete struct{ Key string }

// Answer is the final answer to an operation.
type Answer struct {
	// ID is the ID of the operation.
	ID     uint64
	Result Result
	// Outcome is set for ResultOutcome.
	Outcome Outcome
}

// Wake requests a Tick at the given time.
type Wake struct{ At time.Time }

func (Read) output()   {}
func (Write) output()  {}
func (Delete) output() {}
func (Answer) output() {}
func (Wake) output()   {}
