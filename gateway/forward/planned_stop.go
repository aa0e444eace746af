package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// plannedStop says when a process that was told to stop ends.
type plannedStop struct {
	// streams is until when streams are admitted at all, end when answers are
	// cut.
	streams time.Time
	end     time.Time
}

const (
	// shortestCall is the time that a call must have left: it takes some ten
	// times what calls usually do.
	shortestCall = 400 * time.Millisecond
	// stopMargin is how long before the end of the process a call is answered
	// at the latest.
	stopMargin = 100 * time.Millisecond
)

// admits reports whether a request can be expected to be answered before the
// process ends. Another one is rejected at once: another instance serves it. A
// call that is admitted is answered by then in any case.
func (s *plannedStop) admits(now time.Time, j *job, usualStream time.Duration) bool {
	if j.route.Kind == route.Stream {
		return now.Before(s.streams) && now.Add(usualStream).Before(s.end)
	}
	if latest := s.end.Add(-stopMargin); j.deadline.After(latest) {
		j.deadline = latest
	}
	return j.deadline.Sub(now) >= shortestCall
}

// Stop begins a planned stop: streams are admitted until the first time, and
// requests while they can be expected to end before the second.
func (f *Forwarder) Stop(streams, end time.Time) {
	f.stop.Store(&plannedStop{streams: streams, end: end})
}
