package route

// Kind is the kind of a route: how often its requests may run, and whether the
// answer is streamed.
type Kind uint8

// The kinds of route.
const (
	// AtMostOnce requests run at most once for each client attempt.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
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
