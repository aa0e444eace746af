package dump

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// LocalMark is a drain that holds in one data centre only and is not in the
// platform's configuration yet.
type LocalDrain struct {
	Drain estate.Drain `json:"drain"`
	// Undrain means that the mark lifts the drain.
	Undrain bool `json:"undrain,omitempty"`
	// CommandID is the id of the operator's command.
	CommandID string `json:"command_id"`
	// Digest is the hash of the command.
	Digest string `json:"digest"`
	// ReadRevision is the revision that was in force when it was set.
	ReadRevision uint64    `json:"read_revision"`
	Operator     string    `json:"operator"`
	Expires      time.Time `json:"expires"`
	// Persisted is always false: the mark disappears once it is written.
	Persisted bool `json:"persisted"`
}
