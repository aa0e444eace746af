package snapshot

// State is the state of a server that changes between configuration revisions.
type State struct {
	// Requests is the estimated number of requests at the server.
	Requests int
	// ExpectedRequests is the number of requests at the server when each of the
	// other instances has sent as many as this one since the last load report.
	ExpectedRequests int
	// Capacity is the number of requests that the server runs at full speed;
	// during the slow start of a new server it is reduced.
	Capacity float64
	// Draining means that the server takes no new work, by its report or a drain.
	Draining bool
	// BreakerOpen means that the server's circuit breaker allows no attempt.
	BreakerOpen bool
	// Unreachable means that nothing was received from the server for too long.
	Unreachable bool
	// Reported means that the server has reported which model it has loaded.
	Reported bool
	// LoadedModel and LoadedVersion are as reported; empty when none is loaded.
	LoadedModel   string
	LoadedVersion string
	// Suspects is the number of suspected poison requests that run on the server.
	Suspects int
}

// Load returns the estimated requests as a fraction of the capacity.
func (s State) Load() float64 {
	return float64(s.Requests) / max(s.Capacity, 1)
}

// ExpectedLoad returns the expected requests as a fraction of the capacity.
func (s State) ExpectedLoad() float64 {
	return float64(s.ExpectedRequests) / max(s.Capacity, 1)
}

// StateSource returns the state of a server by its index in the snapshot.
type StateSource interface {
	State(server int) State
}

// States is a StateSource backed by a slice.
type States []State

// State implements StateSource.
func (s States) State(server int) State { return s[server] }
