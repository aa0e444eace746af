package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
)

// Mode selects how a call's key and retries are handled.
type Mode uint8

// The modes; the package comment describes them.
const (
	ModeClaimed Mode = iota + 1
	ModeChecked
	ModeIdempotent
)

// Request holds what the machine needs of one call.
type Request struct {
	Mode Mode
	// Keyed means that the caller sent an idempotency key.
	Keyed bool
	Key   claim.Key
	Hash  claim.BodyHash
	// Attempt is drawn at random for this submission.
	Attempt   claim.AttemptID
	Retention time.Duration
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// HedgeAfter is the time after which a second attempt starts beside a slow
	// one; zero disables it.
	HedgeAfter time.Duration
}
