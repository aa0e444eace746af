package serving

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// CallRequest is one caller's call to a plain service.
type CallRequest struct {
	RequestID string
	// Key is the caller's Idempotency-Key; required for non-idempotent
	// operations.
	Key       string
	Account   estate.ClientAccount
	Service   estate.Service
	Operation estate.Operation
	Body      []byte
}

// CallResult is the recorded answer of a backend server.
type CallResult struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Replayed means that the answer was recorded earlier for the same key.
	Replayed bool `json:"replayed,omitempty"`
	// BodyOmitted means that the recorded answer's body was too large to be
	// kept: the call ran and was answered with the status.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Caller runs calls to plain services. Errors are *fault.Error and state the
// execution: not-run, unknown or refused-here.
type CallRunner interface {
	Call(ctx context.Context, request CallRequest) (CallResult, error)
}
