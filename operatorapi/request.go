package operatorapi

import (
	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Request asks an instance to run one command.
type Request struct {
	// ID identifies the command: a repeat with the same id is never a second
	// command.
	ID string `json:"id"`
	// Command is the text of one command.
	Command string `json:"command"`
	// Files holds the files that the command names.
	Files command.Files `json:"files,omitempty"`
	// ReadRevision is the revision the operator saw; a change is refused when
	// the current one differs. Zero stands for the one read on execution.
	ReadRevision uint64 `json:"read_revision,omitempty"`
	// Repeat means that an earlier submission of the id may have been applied:
	// an instance that can't read the platform answers Unknown.
	Repeat bool `json:"repeat,omitempty"`
	// Wait bounds how long the answer waits until the change is in force on
	// every instance.
	Wait estate.Duration `json:"wait,omitzero"`
	// Direct keeps a command that concerns every instance to this one.
	Direct bool `json:"direct,omitempty"`
}
