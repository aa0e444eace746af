package placement

import (
	"math"
	"time"
)

// serverRecord holds the load, the failures and the call statistics of one server.
type serverRecord struct {
	ownLoad Load
	// peerLoad is the sum of the loads that peers reported.
	peerLoad     Load
	lastReceived time.Time
	// ranAt is the latest time at which the server certainly ran.
	ranAt time.Time
	// failures is the number of consecutive times that it could not be reached.
	failures   int
	avoidUntil time.Time
	// refusesUntil is when the server wants requests of this instance again.
	refusesUntil time.Time
	// meanDuration and failedFraction are moving means over the ended calls: their
	// duration and the fraction that failed. weight is the number of calls in them,
	// which decays with time.
	meanDuration   time.Duration
	failedFraction float64
	weight         float64
	updated        time.Time
	// pending holds the start times of unanswered calls.
	pending []time.Time
}

// peerLoads holds the loads that a peer reported at a time.
type peerLoads struct {
	loads      map[string]Load
	receivedAt time.Time
}

// load returns the load of this instance and its peers.
func (r *serverRecord) load() Load { return r.ownLoad.plus(r.peerLoad) }

// received records that the server sent something, which ends its avoidance.
func (r *serverRecord) received(now time.Time) {
	r.lastReceived, r.failures, r.avoidUntil = now, 0, time.Time{}
}

// maxMeanWeight is the maximum number of calls in the moving means.
const maxMeanWeight = 8

// decay decays the weight of the means by the time since the last update.
func (r *serverRecord) decay(now time.Time, half time.Duration) {
	if r.weight > 0 && now.After(r.updated) {
		r.weight *= math.Exp2(-float64(now.Sub(r.updated)) / float64(half))
	}
	r.updated = now
}

// addCall adds one ended call to the means.
func (r *serverRecord) addCall(now time.Time, half, took time.Duration, failed bool) {
	r.decay(now, half)
	r.weight = min(r.weight, maxMeanWeight-1)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	fraction := 1 / (r.weight + 1)
	r.failedFraction += fraction * (outcome - r.failedFraction)
	r.meanDuration += time.Duration(fraction * float64(took-r.meanDuration))
	r.weight++
}

// endCall removes the call that started at the given time.
func (r *serverRecord) endCall(started time.Time) {
	r.ownLoad.Requests = max(0, r.ownLoad.Requests-1)
	for i, at := range r.pending {
		if at.Equal(started) {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}

// oldestPending returns the time for which the oldest unanswered call has waited.
func (r *serverRecord) oldestPending(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, at := range r.pending {
		oldest = max(oldest, now.Sub(at))
	}
	return oldest
}
