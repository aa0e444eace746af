package serving

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Authenticator finds the client account of a bearer key.
type Authenticator interface {
	// Authenticate returns Unauthenticated for a missing or unknown key.
	Authenticate(bearer string) (estate.ClientAccount, error)
}

// AdmissionRequest asks for permission to run one request.
type AdmissionRequest struct {
	RequestID string
	Account   estate.ClientAccount
	Service   string
	// MaxTokens is the caller's bound on the answer, zero for calls.
	MaxTokens int
	// Resumed means that the request continues an answer that was admitted
	// before; the account's limits don't refuse it.
	Resumed bool
	// Priority orders the requests of one account; higher runs first.
	Priority int
}

// Ticket is the permission to run one request.
type Ticket interface {
	// Tokens counts delivered tokens against the account's rate.
	CountTokens(count int)
	// Release gives the permission back. Calls after the first do nothing.
	Release()
}

// Admitter queues requests fairly and enforces the limits of client accounts.
// Errors are *fault.Error with AccountLimit, Overloaded or DeadlinePassed and
// a RetryAfter. The final answer comes at once, never held back.
type Admitter interface {
	Admit(ctx context.Context, request AdmissionRequest) (Ticket, error)
}
