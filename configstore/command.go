package configstore

import "time"

// describedCommands is the number of recent commands that keep their operator, text and time.
// Older ones keep only the fields by which a repeat is recognized.
const describedCommands = 32

// Command identifies and describes one change.
type Command struct {
	ID string `json:"command_id"`
	// Digest is the hash of the command and its files, which is the same for a repeat.
	Digest   string    `json:"digest,omitempty"`
	Operator string    `json:"operator,omitempty"`
	Text     string    `json:"text,omitempty"`
	Time     time.Time `json:"time,omitzero"`
}

// identity returns the fields by which a repeat is recognized.
func (c Command) identity() Command { return Command{ID: c.ID, Digest: c.Digest} }
