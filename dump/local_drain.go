package dump

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// LocalDrain is a local drain: it is valid in one data centre only and not in the
// platform's configuration yet.
type LocalDrain struct {
	Drain estate.Drain `json:"drain"`
	// Undrain means that the local drain ends a drain of the configuration.
	Undrain bool `json:"undrain,omitempty"`
	// CommandID is the id of the operator's command.
	CommandID string `json:"command_id"`
	// Digest is the hash of the command.
	Digest string `json:"digest"`
	// ReadRevision is the revision that was in force when the command ran.
	ReadRevision uint64    `json:"read_revision"`
	Operator     string    `json:"operator"`
	Expires      time.Time `json:"expires"`
	// Persisted is always false: the local drain is removed once it is written to
	// the configuration.
	Persisted bool `json:"persisted"`
}
