package forward

import (
	"slices"
	"time"
)

const (
	// paceEvents is the number of intervals between events of which one gives the pace of the server: the third smallest,
	// because others may contain the reading of another prompt.
	paceEvents   = 8
	paceSmallest = 2
	// maxHeldUp is the time between receiving an event and waiting for the next one above which the interval says nothing
	// about the server: the client reads slowly.
	maxHeldUp = 10 * time.Millisecond
)

// streamPace gathers the intervals between the events of one attempt. The zero value is ready for use.
type streamPace struct {
	intervals [paceEvents]time.Duration
	count     int
	// waitsSince is when the attempt began to wait for data.
	waitsSince time.Time
}

// waits records that the attempt waits for data from now on.
func (p *streamPace) waits(now time.Time) { p.waitsSince = now }

// observe adds the interval before a number of events that came together, and reports whether enough are gathered.
func (p *streamPace) observe(lastReceived, now time.Time, events int) (usual, longest time.Duration, complete bool) {
	if p.waitsSince.Sub(lastReceived) > maxHeldUp {
		p.count = 0
		return 0, 0, false
	}
	p.intervals[p.count] = now.Sub(lastReceived) / time.Duration(max(1, events))
	p.count++
	if p.count < paceEvents {
		return 0, 0, false
	}
	p.count = 0
	sorted := p.intervals
	slices.Sort(sorted[:])
	return sorted[paceSmallest], sorted[paceEvents-1], true
}

// observePace passes the pace of the attempt's server on while no prompt is read there.
func (a *streamAttempt) observePace(now time.Time, events int) {
	usual, longest, complete := a.pace.observe(a.receivedAt, now, events)
	if complete && a.run.f.selector.idle(a.server) {
		a.run.f.selector.recordIntervals(a.server, usual, longest)
	}
}

// observeRead passes on how long the server took to read the prompt, if it had no other one to read and kept no part of it
// as far as is known.
func (a *streamAttempt) observeRead() {
	r := a.run
	if a.readsAlone && r.size.CachedAt == "" && r.j.request.Position == 0 && r.j.sends == 1 {
		r.f.selector.recordRead(a.server, r.size.PromptTokens, a.firstEventAt.Sub(a.sentAt))
	}
}
