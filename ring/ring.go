// Package ring provides a bounded queue between goroutines that drops new items while
// it is full.
package ring

import "sync/atomic"

// Ring is a bounded queue between goroutines. A full ring drops the offered items and
// counts them, so that it never blocks the producer.
type Ring[T any] struct {
	name    string
	items   chan T
	dropped atomic.Uint64
	passed  atomic.Uint64
}

// Stats is the state of a ring as written to a dump.
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

// Offer adds an item without blocking and reports whether there was room.
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

// Items returns the channel from which items are received.
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
