// Package secondsends bounds how often requests are sent to a second backend
// server. The bound holds over all instances together: each keeps its own ratio
// and its part of the fixed allowance.
package secondsends

import "time"

// buckets is the number of parts of the window that are counted apart.
const buckets = 20

// Limits are the bound over all instances.
type Limits struct {
	// Window is the span over which sends are counted.
	Window time.Duration
	// Ratio is the allowed number of second sends for each request.
	Ratio float64
	// Extra is the allowance beside the ratio.
	Extra float64
}

// reserve is the part of the bound that is used: instances cut their windows
// at different moments and learn late how many there are.
const reserve = 0.85

// Budget counts the sends to one service. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	requests [buckets]int
	seconds  [buckets]int
	bucket   int64
}

// NewBudget returns a budget without sends.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

// Request notes a client's request.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%buckets]++
}

// Take takes one second send and reports whether it is allowed with the given
// number of instances.
func (b *Budget) Take(now time.Duration, instances int) bool {
	b.advance(now)
	requests, seconds := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		seconds += b.seconds[i]
	}
	allowed := reserve * (b.limits.Ratio*float64(requests) + b.limits.Extra/float64(max(1, instances)))
	if float64(seconds+1) > allowed {
		return false
	}
	b.seconds[b.bucket%buckets]++
	return true
}

// advance clears the buckets that left the window.
func (b *Budget) advance(now time.Duration) {
	current := int64(now / (b.limits.Window / buckets))
	if current-b.bucket >= buckets {
		b.requests, b.seconds = [buckets]int{}, [buckets]int{}
		b.bucket = current
	}
	for b.bucket < current {
		b.bucket++
		b.requests[b.bucket%buckets], b.seconds[b.bucket%buckets] = 0, 0
	}
}
