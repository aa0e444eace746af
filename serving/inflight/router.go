package inflight

import "github.com/wisteriahaven/wisteriahaven/serving"

// router is a serving.Router that records each choice with its reason.
type router struct {
	next     serving.Router
	recorder serving.Recorder
}

// Router wraps a router so that each choice and each refusal is recorded.
func (t *Tracker) Router(next serving.Router, recorder serving.Recorder) serving.Router {
	return router{next, recorder}
}

// Route implements serving.Router.
func (r router) Route(request serving.RouteRequest) (serving.Route, error) {
	route, err := r.next.Route(request)
	decision := serving.Decision{Subject: request.RequestID, Kind: kindRoute}
	if err != nil {
		decision.Kind, decision.Reason = kindRefuse, string(request.Purpose)+": "+err.Error()
	} else {
		decision.Server, decision.Reason = route.Server.Name, route.Reason
	}
	r.recorder.Record(decision)
	return route, err
}
