package operatorapi

import (
	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Request asks an instance to execute one command.
type Request struct {
	// ID identifies the command: a repeat with the same id is not applied again.
	ID string `json:"id"`
	// Command is the text of one command.
	Command string `json:"command"`
	// Files holds the contents of the files that the command names.
	Files command.Files `json:"files,omitempty"`
	// ReadRevision is the revision that the operator read; a change is refused
	// if the current one differs. Zero means the one read on execution.
	ReadRevision uint64 `json:"read_revision,omitempty"`
	// Repeat means that an earlier submission of the id may have been applied:
	// an instance that can't read the platform answers Unknown instead of
	// NotApplied.
	Repeat bool `json:"repeat,omitempty"`
	// Wait bounds how long the response is delayed until the change is in force
	// on every instance.
	Wait estate.Duration `json:"wait,omitzero"`
	// Direct means that the instance executes the command for itself only and
	// does not send it to peers.
	Direct bool `json:"direct,omitempty"`
}
