package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Arrival is a request that asks for admission.
type Arrival struct {
	ID      string
	Account estate.ClientAccount
	Service string
	// Tokens is the maximum number of tokens of the answer, zero for calls.
	Tokens   int
	Priority int
	// Resumed means that the request resumes an answer that was admitted before,
	// perhaps by another instance: it counts as in flight, but the account's
	// limits don't refuse it.
	Resumed bool
	// Deadline is the time by which the request must have ended.
	Deadline time.Duration
}
