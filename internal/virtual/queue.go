package virtual

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// Queue holds events and runs them in the order of time; events of the same time
// run in the order in which they were added.
type Queue struct {
	// Now is the virtual time.
	Now      time.Time
	queue    eventHeap
	sequence int
}

// After schedules a function to run after a delay.
func (q *Queue) After(delay time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.queue, event{at: q.Now.Add(delay), sequence: q.sequence, run: run})
}

// RunUntil runs the events up to and including a time, which becomes Now.
func (q *Queue) RunUntil(end time.Time) {
	for len(q.queue) > 0 && !q.queue[0].at.After(end) {
		next := heap.Pop(&q.queue).(event)
		q.Now = next.at
		next.run()
	}
	q.Now = end
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
