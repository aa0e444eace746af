package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
)

// Mode is the course of a call.
type Mode uint8

// The modes.
const (
	ModeClaimed Mode = iota + 1
	ModeChecked
	ModeIdempotent
)

// Request is one call as the machine sees it.
type Request struct {
	Mode Mode
	// Keyed means that the caller sent an idempotency key.
	Keyed bool
	Key   claim.Key
	Hash  claim.BodyHash
	// Attempt is drawn at random for this submission.
	Attempt   claim.AttemptID
	Retention time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// HedgeAfter starts a second attempt beside a slow one; zero never.
	HedgeAfter time.Duration
}
