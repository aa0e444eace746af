package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Config holds the parameters of one generation.
type Config struct {
	Request cursor.Fingerprint
	// Keyed means that the caller sent an idempotency key and may reconnect.
	Keyed bool
	Model string
	// Version is the model version to request until one is pinned.
	Version     string
	PromptBytes int
	// Seed is the sampling seed sent to engines until a cursor pins another.
	Seed       uint64
	OnMismatch serving.OnMismatch
	// Deadline is the time since the epoch by which the generation must end.
	Deadline time.Duration
	Policy   Policy
}
