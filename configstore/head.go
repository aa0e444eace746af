package configstore

import "time"

// Keys of the objects in the platform's object API.
const (
	HeadKey     = "config/head"
	ChunkPrefix = "config/chunk/"
)

// Head is the value of the head object.
type Head struct {
	// CommandID is the id of the command that wrote this head.
	CommandID string `json:"command_id"`
	// Recent holds the ids of earlier commands with their revisions, so that a
	// repeat after a lost answer is recognized.
	Recent []Applied `json:"recent,omitempty"`
	Chunks []Chunk   `json:"chunks"`
}

// Applied is one command that is in the configuration.
type Applied struct {
	CommandID string `json:"command_id"`
	// Revision is the version of the head that the command wrote; zero for
	// the newest one, whose revision is the version of this head.
	Revision uint64 `json:"revision"`
	// Operator, Command and Time say who did what and when; kept for the
	// newest commands only.
	Operator string    `json:"operator,omitempty"`
	Command  string    `json:"command,omitempty"`
	Time     time.Time `json:"time,omitzero"`
}

// Chunk names one immutable part of the configuration.
type Chunk struct {
	Kind   string `json:"kind"`
	Bucket int    `json:"bucket"`
	// Hash is the SHA-256 of the value, in hexadecimal.
	Hash string `json:"hash"`
}
