package configstore

// Keys of the objects in the platform's object API.
const (
	HeadKey     = "config/head"
	ChunkPrefix = "config/chunk/"
)

// Head is the value of the head object.
type Head struct {
	// Command is the command that wrote this head.
	Command
	// Recent holds the earlier commands with their revisions, newest first, so
	// that a repeat after a lost answer is recognized.
	Recent []AppliedCommand `json:"recent,omitempty"`
	Chunks []Chunk          `json:"chunks"`
}

// Applied is one command that is in the configuration.
type AppliedCommand struct {
	Command
	// Revision is the version of the head that the command wrote.
	Revision uint64 `json:"revision"`
}

// Chunk names one immutable part of the configuration.
type Chunk struct {
	Kind   string `json:"kind"`
	Bucket int    `json:"bucket"`
	// Hash is the SHA-256 of the value, in hexadecimal.
	Hash string `json:"hash"`
}
