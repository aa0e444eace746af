package claim

import "time"

// Output is one thing to do for a Committer's owner.
type Output interface{ output() }

// Read asks for an object. Its result comes back as ReadDone.
type Read struct {
	Ticket uint64
	Key    string
}

// Write asks for a conditional write. Its result comes back as WriteDone.
type Write struct {
	Ticket uint64
	Key    string
	Value  []byte
	// Absent demands that the object does not exist; otherwise it must have
	// Version.
	Absent  bool
	Version uint64
}

// Delete asks for the removal of an object that nothing refers to. It has no
// result.
type Delete struct{ Key string }

// Answer ends an operation.
type Answer struct {
	// ID is the operation's.
	ID     uint64
	Result Result
	// Outcome is set for VerdictOutcome.
	Outcome Outcome
}

// Wake asks for a Tick at the given time.
type Wake struct{ At time.Time }

func (Read) output()   {}
func (Write) output()  {}
func (Delete) output() {}
func (Answer) output() {}
func (Wake) output()   {}
