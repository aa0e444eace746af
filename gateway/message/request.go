package message

import "time"

// Request is what a client says about its request.
type Request struct {
	// ID names this client attempt.
	ID string
	// Patience is how long the client waits for the answer; 0 when it does
	// not say.
	Timeout time.Duration
	// Key is the key of the client account.
	Key string
	// Position is the id of the last event that the client has.
	Position uint64
	// PromptTokens and OutputTokens are the size of a generation; 0 when
	// unknown.
	PromptTokens int
	OutputTokens int
	// Prompt names the part of the prompt that is the request's own or its
	// conversation's; empty when unknown.
	PromptKey string
}
