package dump

// The states of a BackendServer.
const (
	ServerUp      = "up"
	ServerLeaving = "leaving"
)

// BackendServer is the state that this instance has of a backend server.
type BackendServer struct {
	Name string `json:"name"`
	// State is ServerUp or ServerLeaving.
	State string `json:"state"`
	// InFlight counts this instance's own requests on the server.
	InFlight int `json:"in_flight"`
	// Reported is the estimated number of requests at the server.
	Reported int `json:"reported"`
	// Breaker is the state of the circuit breaker.
	Breaker string `json:"breaker,omitempty"`
}
