package budget

import "time"

// Class is the kind of a call.
type Class uint8

// The classes of calls.
const (
	Read Class = iota + 1
	Write
	// Watch is a read that waits at the platform.
	Watch
)

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of calls.
const (
	// Answered means that the platform answered, be it with a refusal.
	Answered Outcome = iota + 1
	// RateLimited means that the platform's rate was reached.
	RateLimited
	// Failed means that there was no answer, or that the platform is down.
	Failed
	// Cancelled says nothing about the platform.
	Cancelled
)

// Verdict is the answer to a call that wants to go out.
type Decision struct {
	// Allowed calls go out after Wait and must be reported to Done.
	Allowed bool
	// Wait is the wait before an allowed call, or the time after which a
	// refused one may be tried again.
	Wait time.Duration
	// Open means that the breaker refused it.
	BreakerOpen bool
}

// Status is the state of a gate for the dump.
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
	// Waiting is the number of waiting watches.
	Waiting int `json:"waiting"`
}
