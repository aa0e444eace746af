package budget

import "time"

// Class is the class of a call to the platform.
type Class uint8

// The classes of calls.
const (
	Read Class = iota + 1
	Write
	// Watch is a read that waits at the platform for a change.
	Watch
)

// Outcome is the result of a call to the platform.
type Outcome uint8

// The outcomes of calls.
const (
	// Answered means that the platform answered, even with a rejection.
	Answered Outcome = iota + 1
	// RateLimited means that the platform rejected the call by its rate limit.
	RateLimited
	// Failed means that there was no answer, or that the platform is unavailable.
	Failed
	// Cancelled means that the caller ended the call, which says nothing about the platform.
	Cancelled
)

// Decision is the gate's decision about one call.
type Decision struct {
	// Allowed means that the call goes out after Wait. Its end must be reported to Gate.Done.
	Allowed bool
	// Wait is the wait before an allowed call, or the time after which a
	// rejected one may be retried.
	Wait time.Duration
	// BreakerOpen means that the open circuit breaker rejected the call.
	BreakerOpen bool
}

// Status holds the state and the counters of a gate for the dump.
type Status struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Watches  uint64 `json:"watches"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Limited  uint64 `json:"limited"`
	Openings uint64 `json:"openings"`
	Open     bool   `json:"open"`
	InFlight int    `json:"under_way"`
	// Waiting is the number of watches waiting at the platform.
	Waiting int `json:"waiting"`
}
