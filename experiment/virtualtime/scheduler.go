package virtualtime

import (
	"container/heap"
	"time"
)

// Scheduler holds scheduled events and runs them. The zero value is ready to use.
type Scheduler struct {
	events   events
	sequence int
	now      time.Duration
}

// Now returns the virtual time of the event that runs, or ran last.
func (s *Scheduler) Now() time.Duration { return s.now }

// At schedules run at a virtual time.
func (s *Scheduler) At(at time.Duration, run func(now time.Duration)) {
	s.sequence++
	heap.Push(&s.events, event{at, s.sequence, run})
}

// Every schedules run at each multiple of the period up to and including the end.
func (s *Scheduler) Every(period, end time.Duration, run func(now time.Duration)) {
	for at := period; at <= end; at += period {
		s.At(at, run)
	}
}

// Run runs all events up to and including the end, also those that running events schedule.
func (s *Scheduler) Run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run(next.at)
	}
}
