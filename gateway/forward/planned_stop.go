package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// plannedStop holds the deadlines of a planned stop of the process.
type plannedStop struct {
	// streamsUntil is the time until which streams are admitted, end the time at
	// which unfinished answers are cut.
	streamsUntil time.Time
	end          time.Time
}

const (
	// minCallTime is the remaining time that a call needs to be admitted: about
	// ten times the usual duration of a call.
	minCallTime = 400 * time.Millisecond
	// stopMargin is the time from the latest answer of a call to the process's end.
	stopMargin = 100 * time.Millisecond
)

// usualTimes are the times within which most requests of a service are answered.
type usualTimes struct {
	stream, call time.Duration
}

// usualTimes returns those of a service.
func (f *Forwarder) usualTimes(service string) usualTimes {
	return usualTimes{stream: f.streamDurations.upperEstimate(), call: f.callDurations.upperEstimate(service)}
}

// admits reports whether a request can be expected to be answered before the
// process ends. Other requests are rejected at once, so that another instance
// serves them. The deadline of a call is moved to before the end of the process,
// so that an admitted call is always answered by then.
func (s *plannedStop) admits(now time.Time, j *job, usual usualTimes) bool {
	if j.route.Kind == route.Stream {
		return now.Before(s.streamsUntil) && now.Add(usual.stream).Before(s.end)
	}
	needed := minCallTime
	if latest := s.end.Add(-stopMargin); j.deadline.After(latest) {
		j.deadline = latest
		needed = max(needed, usual.call)
	}
	return j.deadline.Sub(now) >= needed
}

// Stop begins a planned stop: streams are admitted until the time streams at most,
// and any request only while it can be expected to end before the time end.
func (f *Forwarder) Stop(streams, end time.Time) {
	f.selector.giveUpShares()
	f.stop.Store(&plannedStop{streamsUntil: streams, end: end})
}
