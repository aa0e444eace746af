package serving

import "github.com/wisteriahaven/wisteriahaven/estate"

// Purpose says why a server is asked for; the rules filter every purpose.
type Purpose string

// The purposes of a routing request.
const (
	PurposeFirst   Purpose = "first"
	PurposeResume  Purpose = "resume"
	PurposeOverlap Purpose = "overlap"
	PurposeRetry   Purpose = "retry"
	PurposeHedge   Purpose = "hedge"
	// PurposeOverflow serves a request that another data centre handed over.
	PurposeOverflow Purpose = "overflow"
	// PurposeShift serves a request whose region an operator shifted away.
	PurposeShift Purpose = "shift"
)

// Purposes returns every purpose.
func Purposes() []Purpose {
	return []Purpose{
		PurposeFirst, PurposeResume, PurposeOverlap, PurposeRetry,
		PurposeHedge, PurposeOverflow, PurposeShift,
	}
}

// RouteRequest asks for a backend server for one attempt.
type RouteRequest struct {
	// RequestID identifies the request in explanations.
	RequestID     string
	ClientAccount string
	Firm          string
	Service       string
	// Model and Version are empty for calls to plain services. A set Version
	// is pinned: no other is acceptable.
	Model   string
	Version string
	Purpose Purpose
	// Prompt is used for prefix affinity only.
	Prompt string
	// Exclude names servers that must not be picked.
	Exclude []string
	// Avoid names servers to pick only when no other is left.
	Avoid []string
	// AvoidNear names servers that went silent: others in their data centres
	// are picked only when no other is left, as the link may be cut.
	AvoidNear []string
	// NearServer names the server whose data centre and then region are
	// preferred; empty means the instance's own.
	NearServer string
	// Server demands this one server, which already holds a stream of the
	// request. Only the rules and its configuration are checked, so that a
	// leaving server finishes its streams.
	RequiredServer string
	// IsolatedSuspect demands a server that runs no other suspect.
	IsolatedSuspect bool
}

// Route is one choice. Done must be called exactly once when the attempt is
// over.
type Route struct {
	Server estate.BackendServer
	// Reason explains the choice in one line.
	Reason string
	// SameDataCentre and SameRegion compare the server with the instance.
	SameDataCentre bool
	SameRegion     bool
	// Done reports the end of the attempt to load tracking and the circuit
	// breaker.
	Done func(AttemptOutcome)
	// Transferred counts bytes of the attempt's answer; those that came from
	// another region are counted for the client account.
	Transferred func(bytes int)
}

// AttemptOutcome is how an attempt at a backend server ended.
type AttemptOutcome string

// The outcomes of an attempt.
const (
	OutcomeSucceeded AttemptOutcome = "succeeded"
	// OutcomeCancelled says nothing about the server.
	OutcomeCancelled AttemptOutcome = "cancelled"
	// OutcomeRefused means that the server answered and took no work.
	OutcomeRefused AttemptOutcome = "refused"
	// OutcomeBroken means that the connection broke or went silent.
	OutcomeBroken AttemptOutcome = "broken"
	// OutcomeUnreachable means that no connection could be opened.
	OutcomeUnreachable AttemptOutcome = "unreachable"
)

// Router picks backend servers. It is safe for concurrent use. Errors are
// *fault.Error with NoRule, NoBackendServer or UnknownService.
type Router interface {
	Route(request RouteRequest) (Route, error)
}
