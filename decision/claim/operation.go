package claim

import "time"

// OperationKind is the kind of an operation on a key.
type OperationKind uint8

// The kinds of operations.
const (
	// Claim assigns the key to an attempt.
	Claim OperationKind = iota + 1
	// Record stores the outcome of the attempt that holds the key.
	Record
	// Release voids an attempt that was never sent and never will be.
	Release
)

// Operation is one request to a Committer.
type Operation struct {
	// ID is echoed in the answer.
	ID      uint64
	Kind    OperationKind
	Key     Key
	Attempt AttemptID
	Hash    BodyHash
	// Retention is how long the key's state is kept.
	Retention time.Duration
	// Outcome is set for Record.
	Outcome Outcome
	// Timeout bounds the wait for an answer, counted from the submission.
	Timeout time.Duration
}

// pending is an operation that is not answered yet.
type pending struct {
	Operation
	submitted time.Time
	// refreshed means that a read of the head started after the submission.
	refreshed bool
}

// deadline returns when the operation is answered as unresolved at the latest.
func (p *pending) deadline() time.Time { return p.submitted.Add(p.Timeout) }
