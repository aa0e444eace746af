package route

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of route.
const (
	// AtMostOnce requests run once at most for each client attempt.
	AtMostOnce Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered by a stream of numbered events.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "at-most-once"
	}
}
