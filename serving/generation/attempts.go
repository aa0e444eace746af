package generation

import (
	"context"
	"time"

	decision "github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Bounds of the work that outlives an attempt.
const (
	cancelTimeout = 3 * time.Second
	probeTimeout  = time.Second
)

// ask gets a route for the machine.
func (r *run) ask(out decision.RequestRoute) {
	isolated, err := r.parts.Guard.Check(r.suspect, r.request.RequestID)
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
	r.routed = true
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

// returnRoute gives a route back that the machine did not use.
func (r *run) returnRoute() {
	if !r.routed || r.awaitsRoute() {
		return
	}
	r.routed = false
	r.route.Done(serving.OutcomeCancelled)
}

// awaitsRoute reports whether the route is still to be passed to the machine.
func (r *run) awaitsRoute() bool {
	for _, input := range r.pending {
		if _, ok := input.(decision.RouteChosen); ok {
			return true
		}
	}
	return false
}

// open starts the reader of a new attempt.
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
	r.parts.Guard.Started(r.suspect, r.request.RequestID, out.Server)
	r.addresses[out.Server] = route.Server.Address
	stream := &reader{
		attempt: opened, engines: r.parts.Engines, request: request, inputs: r.inputs,
		abandon: func(streamID string) { r.cancelAt(route.Server.Address, streamID, false) },
	}
	r.generator.wait.Go(func() {
		defer cancel()
		stream.run(ctx)
	})
}

// routeOf returns the chosen route, or one to the server of the stream that an
// attempt attaches to.
func (r *run) routeOf(out decision.OpenAttempt) (serving.Route, bool) {
	if out.Kind != decision.KindReattach {
		r.routed = false
		return r.route, true
	}
	request := r.routeRequest(serving.PurposeResume)
	request.Version = out.Version
	request.RequiredServer = out.Server
	route, err := r.parts.Router.Route(request)
	return route, err == nil
}

// close ends an attempt's connection and tells the router how it ended.
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
	// A server that took no connection ended before this attempt ran there.
	r.parts.Guard.Ended(r.suspect, r.request.RequestID, closed.server)
	if out.Outcome == serving.OutcomeUnreachable {
		r.parts.Guard.ServerFailed(closed.server)
	}
}

// disconnect ends an attempt's connection. To cancel a stream that is not
// known yet, the connection is kept until the engine states it.
func (r *run) disconnect(closed *attempt, cancel bool) {
	closed.cancelLate.Store(cancel && closed.streamID.Load() == nil)
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

// probe asks whether the server of a broken attempt still accepts connections,
// so that the guard learns of a server that died.
func (r *run) probe(broken *attempt) {
	r.inBackground(probeTimeout, func(ctx context.Context) {
		if !r.parts.Engines.Reachable(ctx, broken.route.Server.Address) && r.generator.background.Err() == nil {
			r.parts.Guard.ServerFailed(broken.server)
		}
		r.parts.Guard.Ended(r.suspect, r.request.RequestID, broken.server)
	})
}

// closeAttempts ends what is still open when the generation ends.
func (r *run) closeAttempts() {
	for number := range r.attempts {
		r.close(decision.CloseAttempt{Attempt: number, Outcome: serving.OutcomeCancelled})
	}
}

// cancelStream ends a stream to which this instance had a connection.
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

// inBackground runs work that outlives the request, within a timeout.
func (r *run) inBackground(timeout time.Duration, work func(ctx context.Context)) {
	r.generator.wait.Go(func() {
		ctx, cancel := context.WithTimeout(r.generator.background, timeout)
		defer cancel()
		work(ctx)
	})
}
