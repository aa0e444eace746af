package generation

import (
	"context"
	"time"

	decision "github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Timeouts of the work that continues after an attempt.
const (
	cancelTimeout = 3 * time.Second
	probeTimeout  = time.Second
)

// requestRoute requests a route for the machine and queues the result as its
// input.
func (r *run) requestRoute(out decision.RequestRoute) {
	isolated, err := r.parts.Guard.Check(r.contentFingerprint, r.request.RequestID)
	if err == nil {
		request := r.routeRequest(out.Purpose)
		request.Version = out.Version
		request.Exclude, request.Avoid, request.AvoidNear = out.Exclude, out.Avoid, out.AvoidNear
		request.IsolatedSuspect = isolated
		r.route, err = r.parts.Router.Route(request)
	}
	if err != nil {
		r.pending = append(r.pending, decision.RouteFailed{RouteNumber: out.RouteNumber, Fault: fault.From(err)})
		return
	}
	r.hasRoute = true
	r.pending = append(r.pending, decision.RouteChosen{RouteNumber: out.RouteNumber, Server: r.route.Server.Name})
}

func (r *run) routeRequest(purpose serving.Purpose) serving.RouteRequest {
	return serving.RouteRequest{
		RequestID:     r.request.RequestID,
		ClientAccount: r.request.Account.Name,
		Firm:          r.request.Account.Firm,
		Service:       r.request.Service.Name,
		Model:         r.request.Model,
		Purpose:       purpose,
		Prompt:        r.request.Prompt,
	}
}

// returnRoute releases a route that the machine did not use.
func (r *run) returnRoute() {
	if !r.hasRoute || r.routePending() {
		return
	}
	r.hasRoute = false
	r.route.Done(serving.OutcomeCancelled)
}

// routePending reports whether the route is still queued as input of the machine.
func (r *run) routePending() bool {
	for _, input := range r.pending {
		if _, ok := input.(decision.RouteChosen); ok {
			return true
		}
	}
	return false
}

// open starts a new attempt and its reader.
func (r *run) open(out decision.OpenAttempt) {
	route, ok := r.routeOf(out)
	if !ok {
		r.pending = append(r.pending, decision.AttemptFailed{Attempt: out.Attempt, Reason: decision.FailureUnknownStream})
		return
	}
	request := engineapi.CompletionRequest{
		Model:     r.request.Model,
		Version:   out.Version,
		Prompt:    r.request.Prompt,
		MaxTokens: r.request.MaxTokens,
		Seed:      out.Seed,
		Priority:  r.request.Priority,
		Prefix:    out.Prefix,
		Attempt:   out.Attempt,
		RequestID: r.request.RequestID,
	}
	if out.Kind == decision.KindReattach {
		request.Resume = &engineapi.Resume{StreamID: out.Stream.ID, BootID: out.Stream.BootID, Offset: out.Offset}
	}
	ctx, cancel := context.WithCancel(r.generator.background)
	opened := &attempt{number: out.Attempt, server: out.Server, route: route, cancel: cancel, closed: make(chan struct{})}
	if request.Resume != nil {
		opened.streamID.Store(&out.Stream.ID)
	}
	r.attempts[out.Attempt] = opened
	r.parts.Guard.Started(r.contentFingerprint, r.request.RequestID, out.Server)
	r.addresses[out.Server] = route.Server.Address
	stream := &reader{
		attempt: opened, engines: r.parts.Engines, request: request, inputs: r.inputs,
		onConnect:    func() { r.parts.Guard.Reached(r.request.RequestID, opened.server) },
		cancelStream: func(streamID string) { r.cancelAt(route.Server.Address, streamID, false) },
	}
	r.generator.wait.Go(func() {
		defer cancel()
		stream.run(ctx)
	})
}

// routeOf returns the chosen route. For a reattachment it requests a route to the
// server that holds the stream, and returns false when there is none.
func (r *run) routeOf(out decision.OpenAttempt) (serving.Route, bool) {
	if out.Kind != decision.KindReattach {
		r.hasRoute = false
		return r.route, true
	}
	request := r.routeRequest(serving.PurposeResume)
	request.Version = out.Version
	request.RequiredServer = out.Server
	route, err := r.parts.Router.Route(request)
	return route, err == nil
}

// close ends an attempt and reports its outcome to the router and the guard.
func (r *run) close(out decision.CloseAttempt) {
	closed, ok := r.attempts[out.Attempt]
	if !ok {
		return
	}
	delete(r.attempts, out.Attempt)
	r.disconnect(closed, out.Cancel)
	closed.route.Done(out.Outcome)
	if out.Outcome == serving.OutcomeBroken {
		r.probe(closed)
		return
	}
	// A server that accepted no connection failed before this attempt ran there:
	// the failure must not be attributed to this request.
	r.parts.Guard.Ended(r.contentFingerprint, r.request.RequestID, closed.server)
	if out.Outcome == serving.OutcomeUnreachable && r.generator.background.Err() == nil {
		// An instance that stops cancels its own connections, which proves nothing.
		r.parts.Guard.ServerFailed(closed.server)
	}
}

// disconnect ends an attempt's connection. To cancel a stream whose id was not
// received yet, it keeps the connection for at most cancelTimeout.
func (r *run) disconnect(closed *attempt, cancel bool) {
	closed.cancelWhenOpened.Store(cancel && closed.streamID.Load() == nil)
	close(closed.closed)
	switch id := closed.streamID.Load(); {
	case id != nil && cancel:
		closed.cancel()
		r.cancelAt(closed.route.Server.Address, *id, false)
	case cancel:
		time.AfterFunc(cancelTimeout, closed.cancel)
	default:
		closed.cancel()
	}
}

// probe checks in the background whether the server of a broken attempt still
// accepts connections. If it doesn't, probe reports its failure to the guard.
func (r *run) probe(broken *attempt) {
	r.inBackground(probeTimeout, func(ctx context.Context) {
		if !r.parts.Engines.Reachable(ctx, broken.route.Server.Address) && r.generator.background.Err() == nil {
			r.parts.Guard.ServerFailed(broken.server)
		}
		r.parts.Guard.Ended(r.contentFingerprint, r.request.RequestID, broken.server)
	})
}

// closeAttempts closes the attempts that are open when the generation ends.
func (r *run) closeAttempts() {
	for number := range r.attempts {
		r.close(decision.CloseAttempt{Attempt: number, Outcome: serving.OutcomeCancelled})
	}
}

// cancelStream cancels a stream to which this generation had a connection.
func (r *run) cancelStream(stream decision.Stream, onlyIdle bool) {
	if address, ok := r.addresses[stream.Server]; ok {
		r.cancelAt(address, stream.ID, onlyIdle)
	}
}

func (r *run) cancelAt(address, streamID string, onlyIdle bool) {
	r.inBackground(cancelTimeout, func(ctx context.Context) {
		_ = r.parts.Engines.Cancel(ctx, address, streamID, onlyIdle)
	})
}

// inBackground runs work that may continue after the request, with a timeout.
func (r *run) inBackground(timeout time.Duration, work func(ctx context.Context)) {
	r.generator.wait.Go(func() {
		ctx, cancel := context.WithTimeout(r.generator.background, timeout)
		defer cancel()
		work(ctx)
	})
}
