package client

import (
	"context"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// Call is one call to a plain service.
type Call struct {
	Service   string
	Operation string
	// IdempotencyKey is required for non-idempotent operations.
	IdempotencyKey string
	Body           []byte
}

// CallAnswer is the answer of a backend server.
type CallAnswer struct {
	Body []byte
	// Replayed means that the answer was recorded for an earlier submission.
	Replayed bool
}

// Call sends one call once. Errors are *fault.Error and state the execution.
// A lost connection is CallUnknown: repeating the call with the same key is
// safe.
func (c *Client) Call(ctx context.Context, call Call) (CallAnswer, error) {
	address := c.address()
	request := c.newRequest(address, "/v1/services/"+call.Service+"/"+call.Operation, call.IdempotencyKey, call.Body)
	defer fasthttp.ReleaseRequest(request)
	exchange, sent, err := sse.Post(ctx, &c.dialer, address, request)
	if err != nil && !sent {
		return CallAnswer{}, fault.Wrap(fault.CallNotRun, domain, "connect to "+address, err).WithExecution(fault.ExecutionNotRun)
	}
	if err != nil {
		return CallAnswer{}, fault.Wrap(fault.CallUnknown, domain, "the answer was lost", err).WithExecution(fault.ExecutionUnknown)
	}
	defer exchange.Close()
	if exchange.Status() >= http.StatusMultipleChoices {
		return CallAnswer{}, answerError(exchange)
	}
	body, err := exchange.Body()
	if err != nil {
		return CallAnswer{}, fault.Wrap(fault.CallUnknown, domain, "the answer was lost", err).WithExecution(fault.ExecutionUnknown)
	}
	return CallAnswer{Body: body, Replayed: exchange.Header(caller.ReplayedHeader) == "true"}, nil
}
