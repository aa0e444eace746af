package serving

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// OnMismatch is the reaction of a generation to a replayed answer that differs
// from the part that was delivered.
type OnMismatch string

// The reactions to a mismatch.
const (
	OnMismatchError   OnMismatch = "error"
	OnMismatchRestart OnMismatch = "restart"
)

// GenerationRequest is one caller's request for a generation.
type GenerationRequest struct {
	RequestID string
	// Key is the caller's Idempotency-Key; empty when none was sent.
	Key     string
	Account estate.ClientAccount
	Service estate.Service
	Model   string
	// Version is the version the caller asked for; empty for the default.
	Version    string
	Prompt     string
	MaxTokens  int
	Seed       *uint64
	Priority   int
	OnMismatch OnMismatch
	// Cursor is the Last-Event-ID of a reconnecting caller.
	Cursor string
	// Delivered is the text the caller already has, if it sent it.
	Delivered []string
}

// Token is one token at its offset, with the cursor of the position after it.
type Token struct {
	Offset int
	Text   string
	Cursor string
}

// AnswerEnd is the number of tokens and the hash of a complete answer.
type AnswerEnd struct {
	Tokens int
	Hash   rollinghash.Hash
}

// AnswerWriter delivers one answer to its caller. Calls come from one
// goroutine at a time.
type AnswerWriter interface {
	// Begin sends the pinned model version and seed before the first token.
	Begin(model, version string, seed uint64) error
	// Token delivers one token; an error means that the caller disconnected or
	// reads too slowly.
	Token(token Token) error
	// Restart tells the caller to discard the tokens that it received: a whole
	// answer follows.
	Restart() error
	// KeepAlive sends a comment on an idle connection.
	KeepAlive() error
}

// Generator runs generations. Generate returns when the answer is complete, the
// caller disconnected or the generation failed; errors are *fault.Error.
type Generator interface {
	Generate(ctx context.Context, request GenerationRequest, writer AnswerWriter) (AnswerEnd, error)
}
