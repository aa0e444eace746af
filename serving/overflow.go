package serving

import (
	"context"
	"io"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// HopsHeader is the header with the number of times that a request was forwarded
// between instances.
const HopsHeader = "X-Wisteriahaven-Hops"

// OverflowRequest is a generation that this instance has no capacity for, as its
// caller sent it.
type OverflowRequest struct {
	RequestID string
	Account   estate.ClientAccount
	Service   string
	Model     string
	Version   string
	// Hops is the number of times that the request was already forwarded.
	Hops int
	Body []byte
	// Headers are the caller's headers that are forwarded with the request.
	Headers map[string]string
}

// OverflowAnswer is the answer of another entry instance.
type OverflowAnswer struct {
	ContentType string
	// Body is the answer's stream; the receiver closes it.
	Body io.ReadCloser
}

// Overflow forwards requests to entry instances of other data centres. It is safe
// for concurrent use.
type Overflow interface {
	// Forward returns the answer of the first instance that accepts the request.
	// Otherwise it returns NoBackendServer, with the execution unknown when an
	// instance may have run the request without answering.
	Forward(ctx context.Context, request OverflowRequest) (OverflowAnswer, error)
}
