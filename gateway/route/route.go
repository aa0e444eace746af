package route

import "time"

// Route says where requests of one host and path prefix go, and how long they
// may take.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a
	// stream, that callers expect.
	TargetLatency time.Duration
	// Split divides the requests among services.
	Split []Share
	// Attempts bounds the backend servers that one request is sent to.
	Attempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another backend server after an event.
	Resumable bool
}

// Share is a service's weight in a split.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may be sent to a second backend server
// after the first may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Choose returns the service for a number drawn uniformly from [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	at := draw * float64(total)
	for _, share := range r.Split {
		at -= float64(share.Weight)
		if at < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
