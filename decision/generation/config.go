package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Config describes one generation.
type Config struct {
	Request cursor.Fingerprint
	// Keyed means that the caller sent an idempotency key and may come back.
	Keyed bool
	Model string
	// Version is the version to ask for until one is pinned.
	Version     string
	PromptBytes int
	// Seed is sent to engines until a cursor pins another.
	Seed       uint64
	OnMismatch serving.OnMismatch
	// Deadline is when the generation ends at the latest.
	Deadline time.Duration
	Policy   Policy
}
