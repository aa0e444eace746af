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
	FixedAllowance float64
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

// Limit replaces the limits. What was counted in the window counts for a whole new
// one.
func (b *Budget) SetLimits(now time.Duration, limits Limits) {
	usage := b.Usage(now)
	*b = Budget{limits: limits}
	b.advance(now)
	b.requests[b.bucket%buckets], b.seconds[b.bucket%buckets] = usage.Requests, usage.SecondSends
}

// Request notes a client's request.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%buckets]++
}

// Usage is the number of requests and second sends within the window.
type Usage struct {
	Requests    int
	SecondSends int
}

// Plus returns the sum of two usages.
func (u Usage) Plus(other Usage) Usage {
	return Usage{Requests: u.Requests + other.Requests, SecondSends: u.SecondSends + other.SecondSends}
}

// Usage returns the own usage.
func (b *Budget) Usage(now time.Duration) Usage {
	b.advance(now)
	var usage Usage
	for i := range buckets {
		usage.Requests += b.requests[i]
		usage.SecondSends += b.seconds[i]
	}
	return usage
}

// Group is the part of the instances that share what one of them does not need.
type Group struct {
	// Others is what the other instances of the group stated last.
	Peers Usage
	// Part is the group's part of all instances.
	GroupShare float64
	// Own is this instance's part of all instances.
	OwnShare float64
}

// Take takes one second send and reports whether it is allowed: while the own
// part lasts, and beyond while the group's does. The failure of a data centre
// strikes the instances of a group unevenly, and different groups at different
// times.
func (b *Budget) Take(now time.Duration, group Group) bool {
	usage := b.Usage(now)
	if !b.allows(usage, group.OwnShare) && !b.allows(usage.Plus(group.Peers), group.GroupShare) {
		return false
	}
	b.seconds[b.bucket%buckets]++
	return true
}

// allows reports whether one more second send is within a part of the bound.
func (b *Budget) allows(usage Usage, part float64) bool {
	return float64(usage.SecondSends+1) <= reserve*(b.limits.Ratio*float64(usage.Requests)+b.limits.FixedAllowance*part)
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
