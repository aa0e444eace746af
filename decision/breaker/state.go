package breaker

// State is the state of a breaker.
type State string

// The states of a breaker.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half-open"
)
