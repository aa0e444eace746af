package configstore

import "time"

// describedCommands is how many of the recent commands keep their operator,
// text and time; the others keep what recognizes a repeat.
const describedCommands = 32

// Command identifies and describes one change.
type Command struct {
	ID string `json:"command_id"`
	// Digest is the hash of the command with its files: a repeat has the same
	// one.
	Digest   string    `json:"digest,omitempty"`
	Operator string    `json:"operator,omitempty"`
	Text     string    `json:"text,omitempty"`
	Time     time.Time `json:"time,omitzero"`
}

// undescribed returns the part that recognizes a repeat.
func (c Command) undescribed() Command { return Command{ID: c.ID, Digest: c.Digest} }
