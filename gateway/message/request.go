package message

import "time"

// Request holds the data that a client sends about its request.
type Request struct {
	// ID names this client attempt.
	ID string
	// Timeout is how long the client waits for the answer; 0 when not given.
	Timeout time.Duration
	// Key is the key of the client account.
	Key string
	// Position is the id of the last event that the client has received.
	Position uint64
	// FirstAttempt is the id of the client attempt that brought the first event of the stream
	// that the client resumes; empty when not given.
	FirstAttempt string
	// PromptTokens and OutputTokens are the sizes of a generation's prompt and
	// maximum output in tokens; 0 when unknown.
	PromptTokens int
	OutputTokens int
	// SharedParts are the ids of the parts of a generation's prompt that other requests may share, in their order.
	SharedParts []string
	// PromptKey identifies the part of the prompt that belongs only to this
	// request or its conversation; empty when unknown.
	PromptKey string
	// PromptKeyTokens is the size of that part in tokens; 0 when unknown.
	PromptKeyTokens int
}
