package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// plannedStop says when a process that was told to stop ends.
type plannedStop struct {
	// end is when answers are cut.
	end time.Time
}

// admits reports whether a request can be answered before the process ends. A
// request that can't is rejected at once: another instance serves it.
func (s *plannedStop) admits(now time.Time, j *job, usualStream time.Duration) bool {
	if j.route.Kind == route.Stream {
		return now.Add(usualStream).Before(s.end)
	}
	return !j.deadline.After(s.end)
}

// Stop begins a planned stop: requests are admitted while they can be expected
// to end before the given time.
func (f *Forwarder) Stop(end time.Time) { f.stop.Store(&plannedStop{end: end}) }
