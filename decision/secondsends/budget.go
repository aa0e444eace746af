// Package secondsends bounds how often requests are sent to a second backend server.
//
// The bound holds over all instances together: each instance applies the ratio to
// its own requests and uses its share of the fixed allowance. The package sends
// nothing and has no clock.
package secondsends

import "time"

// buckets is the number of equal parts into which the window is divided.
const buckets = 20

// Limits holds the bound on second sends over all instances.
type Limits struct {
	// Window is the time over which sends are counted.
	Window time.Duration
	// Ratio is the allowed number of second sends per request.
	Ratio float64
	// FixedAllowance is the number of second sends allowed beside the ratio.
	FixedAllowance float64
}

// usableFraction is the fraction of the bound that is used. The rest is kept because the
// windows of the instances start at different times and because instances learn with
// a delay how many there are.
const usableFraction = 0.85

// Budget counts the sends to one service. It is not safe for concurrent use.
type Budget struct {
	limits      Limits
	requests    [buckets]int
	secondSends [buckets]int
	bucket      int64
}

// NewBudget returns a budget without requests.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

// SetLimits replaces the limits. The usage of the current window counts in full in the
// new window.
func (b *Budget) SetLimits(now time.Duration, limits Limits) {
	usage := b.Usage(now)
	*b = Budget{limits: limits}
	b.advance(now)
	b.requests[b.bucket%buckets], b.secondSends[b.bucket%buckets] = usage.Requests, usage.SecondSends
}

// RecordRequest records a request of a client.
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

// Usage returns the usage of this instance.
func (b *Budget) Usage(now time.Duration) Usage {
	b.advance(now)
	var usage Usage
	for i := range buckets {
		usage.Requests += b.requests[i]
		usage.SecondSends += b.secondSends[i]
	}
	return usage
}

// Group is the part of the instances that share their unused allowances.
type Group struct {
	// Peers is the sum of the usages that the peers of the group reported last.
	Peers Usage
	// GroupShare is the group's fraction of all instances.
	GroupShare float64
	// OwnShare is this instance's fraction of all instances.
	OwnShare float64
}

// Take counts one second send and reports whether it is allowed: when it is within
// this instance's share of the bound, or within the share of its group. The group
// shares because the failure of a data centre affects its instances unevenly, and
// different groups at different times.
func (b *Budget) Take(now time.Duration, group Group) bool {
	usage := b.Usage(now)
	if !b.allows(usage, group.OwnShare) && !b.allows(usage.Plus(group.Peers), group.GroupShare) {
		return false
	}
	b.secondSends[b.bucket%buckets]++
	return true
}

// allows reports whether one more second send is within a fraction of the bound.
func (b *Budget) allows(usage Usage, fraction float64) bool {
	return float64(usage.SecondSends+1) <= usableFraction*(b.limits.Ratio*float64(usage.Requests)+b.limits.FixedAllowance*fraction)
}

// advance moves the window to a time and clears the buckets that left it.
func (b *Budget) advance(now time.Duration) {
	current := int64(now / (b.limits.Window / buckets))
	if current-b.bucket >= buckets {
		b.requests, b.secondSends = [buckets]int{}, [buckets]int{}
		b.bucket = current
	}
	for b.bucket < current {
		b.bucket++
		b.requests[b.bucket%buckets], b.secondSends[b.bucket%buckets] = 0, 0
	}
}
