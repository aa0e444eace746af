package virtualtime

import (
	"container/heap"
	"time"
)

// Scheduler holds the events to come. The zero value is ready to use.
type Scheduler struct {
	events events
	order  int
	now    time.Duration
}

// Now returns the time of the running event.
func (s *Scheduler) Now() time.Duration { return s.now }

// At schedules an event.
func (s *Scheduler) At(at time.Duration, run func(now time.Duration)) {
	s.order++
	heap.Push(&s.events, event{at, s.order, run})
}

// Every schedules an event at each multiple of the period up to the end.
func (s *Scheduler) Every(period, end time.Duration, run func(now time.Duration)) {
	for at := period; at <= end; at += period {
		s.At(at, run)
	}
}

// Run runs the events up to the end.
func (s *Scheduler) Run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run(next.at)
	}
}
