package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Arrival is a request that asks to run.
type Arrival struct {
	ID      string
	Account estate.ClientAccount
	Service string
	// Tokens is the bound on the answer, zero for calls.
	Tokens   int
	Priority int
	// Resumed continues an answer that was admitted before, perhaps by another
	// instance: it counts in flight but the account's limits don't refuse it.
	Resumed bool
	// Deadline is when the request must have ended.
	Deadline time.Duration
}
