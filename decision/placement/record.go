package placement

import (
	"math"
	"time"
)

// record is what the ledger knows of one server.
type record struct {
	own Load
	// others is the sum of what other instances stated.
	others Load
	heard  time.Time
	// failures counts the times in a row that it could not be reached.
	failures   int
	avoidUntil time.Time
	// duration and failed are moving means over the answered calls: how long
	// they took and which part failed. weight is the number of calls behind
	// them, halved with time.
	duration time.Duration
	failed   float64
	weight   float64
	updated  time.Time
	// pending holds the starts of unanswered calls.
	pending []time.Time
}

// report is what another instance stated.
type report struct {
	loads map[string]Load
	at    time.Time
}

// load returns the own load and that of other instances.
func (r *record) load() Load { return r.own.plus(r.others) }

// heardAt notes that the server sent something.
func (r *record) heardAt(now time.Time) {
	r.heard, r.failures, r.avoidUntil = now, 0, time.Time{}
}

// meanWeight is the number of calls over which the means reach.
const meanWeight = 8

// age lets the means lose weight with time.
func (r *record) age(now time.Time, half time.Duration) {
	if r.weight > 0 && now.After(r.updated) {
		r.weight *= math.Exp2(-float64(now.Sub(r.updated)) / float64(half))
	}
	r.updated = now
}

// answered adds one call to the means.
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

// ended drops a call that was started at a time.
func (r *record) ended(started time.Time) {
	r.own.Requests = max(0, r.own.Requests-1)
	for i, at := range r.pending {
		if at.Equal(started) {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}

// oldestPending returns how long the oldest unanswered call has waited.
func (r *record) oldestPending(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, at := range r.pending {
		oldest = max(oldest, now.Sub(at))
	}
	return oldest
}
