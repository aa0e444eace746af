// Package ring provides the bounded queue that joins two duties.
package ring

import "sync/atomic"

// Ring is a bounded queue between goroutines. A full ring drops what is
// offered and counts it; it never blocks the producer.
type Ring[T any] struct {
	name    string
	items   chan T
	dropped atomic.Uint64
	passed  atomic.Uint64
}

// Stats is the state of a ring for the dump.
type Stats struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Passed   uint64 `json:"passed"`
	Dropped  uint64 `json:"dropped"`
}

// New returns an empty ring that holds up to capacity items.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, capacity)}
}

// Offer adds the item and reports whether there was room.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		r.passed.Add(1)
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the receiving side.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Stats returns the current counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Name:     r.name,
		Depth:    len(r.items),
		Capacity: cap(r.items),
		Passed:   r.passed.Load(),
		Dropped:  r.dropped.Load(),
	}
}
