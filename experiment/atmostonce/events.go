package atmostonce

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a queue of events in the order of time.
type events struct {
	now      time.Time
	queue    eventHeap
	sequence int
}

func (e *events) after(delay time.Duration, run func()) {
	e.sequence++
	heap.Push(&e.queue, event{at: e.now.Add(delay), sequence: e.sequence, run: run})
}

// runUntil runs the events up to a time.
func (e *events) runUntil(end time.Time) {
	for len(e.queue) > 0 && !e.queue[0].at.After(end) {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
