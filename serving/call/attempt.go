package call

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/service"
)

// probeTimeout limits the check whether a server still accepts connections.
const probeTimeout = 500 * time.Millisecond

func (r *run) pickServer(pick call.RequestRoute) {
	r.releaseRoute()
	route, err := r.runner.parts.Router.Route(serving.RouteRequest{
		RequestID:       r.request.RequestID,
		ClientAccount:   r.request.Account.Name,
		Firm:            r.request.Account.Firm,
		Service:         r.request.Service.Name,
		Purpose:         pick.Purpose,
		Exclude:         pick.Exclude,
		IsolatedSuspect: r.isolated,
	})
	if err != nil {
		r.queueInput(call.RouteFailed{Fault: fault.From(err)})
		return
	}
	r.route = &route
	r.queueInput(call.RouteChosen{Server: route.Server.Name})
}

// releaseRoute releases a route that was not used.
func (r *run) releaseRoute() {
	if r.route != nil {
		r.route.Done(serving.OutcomeCancelled)
		r.route = nil
	}
}

func (r *run) dispatch(dispatch call.Dispatch) {
	route := *r.route
	r.route = nil
	ctx, cancel := context.WithDeadline(r.runner.ctx, r.machineRequest.Deadline.Add(lateAnswerTimeout))
	r.attempts[dispatch.Attempt] = cancel
	go r.attempt(ctx, dispatch.Attempt, route)
}

// attempt sends the call to one server and reports the outcome.
func (r *run) attempt(ctx context.Context, number int, route serving.Route) {
	guard := r.runner.parts.Guard
	guard.Started(r.fingerprint, r.request.RequestID, route.Server.Name)
	result, sent, err := r.runner.parts.Services.Call(ctx, route.Server.Address, service.Request{
		Operation: r.request.Operation.Name,
		Key:       r.request.Key,
		Body:      r.request.Body,
	}, func() { guard.Reached(r.request.RequestID, route.Server.Name) })
	ended := call.AttemptEnded{Attempt: number}
	outcome := serving.OutcomeSucceeded
	switch {
	case err == nil && r.retryable(result.Status):
		ended.Ending, outcome = call.Unanswered, serving.OutcomeRefused
	case err == nil:
		ended.Ending = call.Answered
		ended.Outcome = claim.Outcome{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	case !sent:
		ended.Ending, outcome = call.NeverSent, serving.OutcomeUnreachable
	default:
		ended.Ending, outcome = call.Unanswered, serving.OutcomeBroken
		r.connectionBroke(ctx, route, err)
	}
	if ctx.Err() != nil {
		outcome = serving.OutcomeCancelled
	}
	guard.Ended(r.fingerprint, r.request.RequestID, route.Server.Name)
	route.Done(outcome)
	r.queueInput(ended)
}

// retryable reports whether an idempotent call may go to another server after
// the status.
func (r *run) retryable(status int) bool {
	return r.machineRequest.Mode == call.ModeIdempotent && status == http.StatusServiceUnavailable
}

// connectionBroke logs an answer that belonged to another request, and reports a
// server that crashed to the guard.
func (r *run) connectionBroke(ctx context.Context, route serving.Route, cause error) {
	if fault.HasCode(cause, fault.AnswerCrossed) {
		event.Log(r.runner.parts.Logger, event.AnswerCrossed).
			Str("request", r.request.RequestID).
			Str("server", route.Server.Name).
			Send()
		return
	}
	if ctx.Err() == nil && refusesConnections(route.Server.Address) {
		r.runner.parts.Guard.ServerFailed(route.Server.Name)
	}
}

// refusesConnections reports whether no process listens on the address.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
