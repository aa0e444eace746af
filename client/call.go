package client

import (
	"context"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
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
	// RequestID is the id under which operators find the request.
	RequestID string
	// Replayed means that the answer was recorded for an earlier submission.
	Replayed bool
	// BodyOmitted means that the recorded answer's body was not kept.
	BodyOmitted bool
}

// maxCallAttempts is the maximum number of submissions of one call.
const maxCallAttempts = 5

// Call sends one call. A call with a key is retried when it was refused with a
// code that allows a retry or its answer was lost, up to maxCallAttempts
// submissions and after the refusal's RetryAfter: a key runs at most once.
// Errors are *fault.Error and state the execution.
func (c *Client) Call(ctx context.Context, call Call) (CallAnswer, error) {
	for attempt := 1; ; attempt++ {
		answer, err := c.callOnce(ctx, call)
		if err == nil || attempt == maxCallAttempts || call.IdempotencyKey == "" {
			return answer, err
		}
		wait := retryDelay(fault.From(err))
		if wait == 0 {
			return answer, err
		}
		if !pause.For(ctx, wait) {
			return answer, err
		}
	}
}

// retryDelay returns the wait before a retry, zero when the call must not be
// retried.
func retryDelay(failure *fault.Error) time.Duration {
	switch failure.Code {
	case fault.AccountLimit, fault.Overloaded, fault.Stopping, fault.CallRefusedHere, fault.CallNotRun:
		return max(failure.RetryAfter, reconnectDelay)
	case fault.CallAnswerLost:
		return reconnectDelay
	default:
		return 0
	}
}

// unsentExecution returns the execution of a call that reached no instance. With
// a key an earlier submission may have run, so it is not known to be not-run.
func unsentExecution(call Call) fault.Execution {
	if call.IdempotencyKey != "" {
		return fault.ExecutionRefusedHere
	}
	return fault.ExecutionNotRun
}

// callOnce submits a call to the next instance.
func (c *Client) callOnce(ctx context.Context, call Call) (CallAnswer, error) {
	address := c.nextAddress()
	request := c.newRequest(address, "/v1/services/"+call.Service+"/"+call.Operation, call.IdempotencyKey, call.Body)
	defer fasthttp.ReleaseRequest(request)
	exchange, sent, err := sse.Post(ctx, &c.dialer, address, request)
	if err != nil && !sent {
		return CallAnswer{}, fault.Wrap(fault.CallRefusedHere, domain, "connect to "+address, err).WithExecution(unsentExecution(call))
	}
	if err != nil {
		return CallAnswer{}, fault.Wrap(fault.CallAnswerLost, domain, "the answer was lost", err).WithExecution(fault.ExecutionUnknown)
	}
	defer exchange.Close()
	if exchange.Status() >= http.StatusMultipleChoices {
		return CallAnswer{}, answerError(exchange)
	}
	body, err := exchange.Body()
	if err != nil {
		return CallAnswer{}, fault.Wrap(fault.CallAnswerLost, domain, "the answer was lost", err).WithExecution(fault.ExecutionUnknown)
	}
	return CallAnswer{
		Body:        body,
		RequestID:   exchange.Header(caller.RequestIDHeader),
		Replayed:    exchange.Header(caller.ReplayedHeader) == "true",
		BodyOmitted: exchange.Header(caller.BodyOmittedHeader) == "true",
	}, nil
}
