package serving

import (
	"context"
	"io"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// HopsHeader carries how often a request was handed over between instances.
const HopsHeader = "X-Wisteriahaven-Hops"

// OverflowRequest is a generation that this instance has no room for, as its
// caller sent it.
type OverflowRequest struct {
	RequestID string
	Account   estate.ClientAccount
	Service   string
	Model     string
	Version   string
	// Hops is how often the request was handed over already.
	Hops int
	Body []byte
	// Headers are the caller's headers that go with the request.
	Headers map[string]string
}

// OverflowAnswer is the answer of another entry instance.
type OverflowAnswer struct {
	ContentType string
	// Body is the answer's stream; the reader closes it.
	Body io.ReadCloser
}

// Overflow hands requests over to entry instances of other data centres. It is
// safe for concurrent use.
type Overflow interface {
	// Forward returns the answer of the first instance that takes the request.
	// Otherwise it returns NoBackendServer, with the execution unknown when an
	// instance may run it without having answered.
	Forward(ctx context.Context, request OverflowRequest) (OverflowAnswer, error)
}
