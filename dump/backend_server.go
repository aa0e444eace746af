package dump

// BackendServer is a backend server as this instance sees it.
type BackendServer struct {
	Name string `json:"name"`
	// State is "up", "suspect", "down" or "leaving".
	State string `json:"state"`
	// InFlight counts this instance's own requests on the server.
	InFlight int `json:"in_flight"`
	// Reported is the load the server last reported, in requests.
	Reported int `json:"reported"`
	// Breaker is the state of the circuit breaker.
	Breaker string `json:"breaker,omitempty"`
}
