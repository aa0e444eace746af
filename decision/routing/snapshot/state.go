package snapshot

// State is what changes about a server between two revisions.
type State struct {
	// Held is the estimated number of requests at the server.
	Requests int
	// Expected is Held with what the other instances are expected to have
	// sent since the last report.
	ExpectedRequests int
	// Capacity is the number of requests it takes at full speed; a new
	// server's is reduced by its slow start.
	Capacity float64
	// Leaving means that the server takes no new work.
	Draining bool
	// BreakerOpen means that the circuit breaker allows no attempt.
	BreakerOpen bool
	// Unreachable means that nothing was heard of it for too long.
	Unreachable bool
	// Reported means that the server said what it has loaded.
	Reported bool
	// LoadedModel and LoadedVersion are what it said, empty for nothing.
	LoadedModel   string
	LoadedVersion string
	// Suspects is how many suspect requests run on the server.
	Suspects int
}

// Load returns the held requests as a fraction of the capacity.
func (s State) Load() float64 {
	return float64(s.Requests) / max(s.Capacity, 1)
}

// ExpectedLoad returns the expected requests as a fraction of the capacity.
func (s State) ExpectedLoad() float64 {
	return float64(s.ExpectedRequests) / max(s.Capacity, 1)
}

// StateSource gives the state of a server by its index in the snapshot.
type StateSource interface {
	State(server int) State
}

// States is a StateSource over a slice.
type States []State

// State implements StateSource.
func (s States) State(server int) State { return s[server] }
