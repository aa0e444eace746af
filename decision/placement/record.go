package placement

import (
	"math"
	"time"
)

// record holds the load, the failures and the call statistics of one server.
type record struct {
	own Load // by this instance
	// others is the sum of the loads that peers reported.
	others Load
	heard  time.Time
	// failures is the number of consecutive times that it could not be reached.
	failures   int
	avoidUntil time.Time
	// duration and failed are moving means over the ended calls: their duration and
	// the part that failed. weight is the number of calls in them, which decays
	// with time.
	duration time.Duration
	failed   float64
	weight   float64
	updated  time.Time
	// pending holds the start times of unanswered calls.
	pending []time.Time
}

// report holds the loads that a peer reported at a time.
type report struct {
	loads map[string]Load
	at    time.Time
}

// load returns the load of this instance and its peers.
func (r *record) load() Load { return r.own.plus(r.others) }

// heardAt records that the server sent something, which ends its avoidance.
func (r *record) heardAt(now time.Time) {
	r.heard, r.failures, r.avoidUntil = now, 0, time.Time{}
}

// meanWeight is the maximum number of calls in the moving means.
const meanWeight = 8

// age decays the weight of the means by the time since the last update.
func (r *record) age(now time.Time, half time.Duration) {
	if r.weight > 0 && now.After(r.updated) {
		r.weight *= math.Exp2(-float64(now.Sub(r.updated)) / float64(half))
	}
	r.updated = now
}

// answered adds one ended call to the means.
func (r *record) answered(now time.Time, half, took time.Duration, failed bool) {
	r.age(now, half)
	r.weight = min(r.weight, meanWeight-1)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	part := 1 / (r.weight + 1)
	r.failed += part * (outcome - r.failed)
	r.duration += time.Duration(part * float64(took-r.duration))
	r.weight++
}

// ended removes the call that started at the given time.
func (r *record) ended(started time.Time) {
	r.own.Requests = max(0, r.own.Requests-1)
	for i, at := range r.pending {
		if at.Equal(started) {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}

// oldestPending returns the time for which the oldest unanswered call has waited.
func (r *record) oldestPending(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, at := range r.pending {
		oldest = max(oldest, now.Sub(at))
	}
	return oldest
}
