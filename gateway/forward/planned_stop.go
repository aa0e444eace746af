package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// plannedStop says when a process that was told to stop ends.
type plannedStop struct {
	// streams is until when streams are admitted, end when answers are cut.
	streams time.Time
	end     time.Time
}

// admits reports whether a request can be answered before the process ends. A
// request that can't is rejected at once: another instance serves it.
func (s *plannedStop) admits(now time.Time, j *job) bool {
	if j.route.Kind == route.Stream {
		return now.Before(s.streams)
	}
	return !j.deadline.After(s.end)
}

// Stop begins a planned stop: streams are admitted until the first time, calls
// while they end before the second.
func (f *Forwarder) Stop(streams, end time.Time) {
	f.stop.Store(&plannedStop{streams: streams, end: end})
}
