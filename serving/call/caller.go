// Package call runs calls to plain services.
package call

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/service"
)

// maxAttempts bounds the tries of an idempotent call.
const maxAttempts = 3

// Parts are what a Caller works with.
type Parts struct {
	Router   serving.Router
	Admitter serving.Admitter
	Recorder serving.Recorder
	Services *service.Client
}

// Caller implements serving.Caller.
type Caller struct {
	parts Parts
}

// New returns a caller.
func New(parts Parts) *Caller { return &Caller{parts: parts} }

// Call implements serving.Caller.
func (c *Caller) Call(ctx context.Context, request serving.CallRequest) (serving.CallResult, error) {
	if !request.Operation.Idempotent && request.Key == "" {
		return serving.CallResult{}, fault.New(fault.CallKeyMissing, "a non-idempotent call needs an Idempotency-Key").WithExecution(fault.ExecutionNotRun)
	}
	attempts := 1
	if request.Operation.Idempotent {
		attempts = maxAttempts
	}
	var last error
	for range attempts {
		result, sent, err := c.attempt(ctx, request)
		if err == nil {
			return result, nil
		}
		last = err
		if sent && !request.Operation.Idempotent {
			return result, fault.Wrap(fault.CallUnknown, "serving/call", "the answer was lost", err).WithExecution(fault.ExecutionUnknown)
		}
	}
	return serving.CallResult{}, fault.Wrap(fault.CallNotRun, "serving/call", "no backend server took the call", last).WithExecution(fault.ExecutionNotRun)
}

func (c *Caller) attempt(ctx context.Context, request serving.CallRequest) (serving.CallResult, bool, error) {
	route, err := c.parts.Router.Route(serving.RouteRequest{
		RequestID:     request.RequestID,
		ClientAccount: request.Account.Name,
		Firm:          request.Account.Firm,
		Service:       request.Service.Name,
		Purpose:       serving.PurposeFirst,
	})
	if err != nil {
		return serving.CallResult{}, false, err
	}
	result, sent, err := c.parts.Services.Call(ctx, route.Server.Address, service.Request{
		Operation: request.Operation.Name,
		Key:       request.Key,
		Body:      request.Body,
	})
	outcome := serving.OutcomeSucceeded
	if err != nil {
		outcome = serving.OutcomeBroken
	}
	route.Done(outcome)
	return result, sent, err
}
