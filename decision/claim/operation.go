package claim

import "time"

// OperationKind is what an operation does with a key.
type OperationKind uint8

// The kinds of operations.
const (
	// Claim takes the key for an attempt.
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
	// Retention is how long the key is remembered.
	Retention time.Duration
	// Outcome is set for Record.
	Outcome Outcome
	// Timeout bounds the wait for an answer, counted from the submission.
	Timeout time.Duration
}

// pending is an operation that waits for its answer.
type pending struct {
	Operation
	submitted time.Time
	// refreshed means that the head was read after the submission.
	refreshed bool
}

// deadline returns when the operation is answered as unresolved.
func (p *pending) deadline() time.Time { return p.submitted.Add(p.Timeout) }
