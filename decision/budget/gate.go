package budget

import (
	"math/rand/v2"
	"time"
)

// maxDoublings bounds the exponential growth of the breaker's pause.
const maxDoublings = 8

// Gate decides about every call of one process to the platform. It is not safe
// for concurrent use.
type Gate struct {
	config Config
	random *rand.Rand
	reads  tokenBucket
	writes tokenBucket

	failures int
	openings int
	// pausedUntil is the end of the pause in which no call is allowed, zero for none.
	pausedUntil time.Time
	status      Status
}

// NewGate returns a gate with full bursts and a closed circuit breaker.
func NewGate(config Config, random *rand.Rand) *Gate {
	config = config.WithDefaults()
	return &Gate{
		config: config,
		random: random,
		reads:  newTokenBucket(config.ReadsPerSecond, config.BurstSeconds),
		writes: newTokenBucket(config.WritesPerSecond, config.BurstSeconds),
	}
}

// Admit decides whether one call may go out now, and counts it if so.
func (g *Gate) Admit(now time.Time, class Class) Decision {
	if wait := g.pausedUntil.Sub(now); wait > 0 {
		g.status.Refused++
		return Decision{Wait: wait, BreakerOpen: g.status.Open}
	}
	if class != Watch && g.status.InFlight >= g.config.MaxInFlight {
		g.status.Refused++
		return Decision{Wait: g.config.MaxWait}
	}
	bucket := &g.reads
	if class == Write {
		bucket = &g.writes
	}
	wait := bucket.wait(now)
	if wait > g.config.MaxWait {
		g.status.Refused++
		return Decision{Wait: wait}
	}
	bucket.take()
	if g.status.Open {
		// This call is a probe: the next one is allowed only after the interval,
		// unless this one succeeds.
		g.pausedUntil = now.Add(g.config.ProbeInterval)
	}
	g.countAdmitted(class)
	return Decision{Allowed: true, Wait: wait}
}

func (g *Gate) countAdmitted(class Class) {
	switch class {
	case Write:
		g.status.Writes++
		g.status.InFlight++
	case Watch:
		g.status.Watches++
		g.status.Waiting++
	default:
		g.status.Reads++
		g.status.InFlight++
	}
}

// Done records the end of an allowed call and its outcome.
func (g *Gate) Done(now time.Time, class Class, outcome Outcome) {
	if class == Watch {
		g.status.Waiting--
	} else {
		g.status.InFlight--
	}
	switch outcome {
	case Answered:
		g.failures, g.openings = 0, 0
		g.status.Open = false
		g.pausedUntil = time.Time{}
	case RateLimited:
		g.status.Limited++
		g.pausedUntil = now.Add(g.pause(0))
	case Failed:
		g.status.Failed++
		g.recordFailure(now)
	case Cancelled:
	}
}

// recordFailure opens the breaker after Config.FailureThreshold consecutive
// failures, and again after a failed probe.
func (g *Gate) recordFailure(now time.Time) {
	g.failures++
	if g.failures < g.config.FailureThreshold {
		return
	}
	if g.status.Open && now.Before(g.pausedUntil) && g.failures%g.config.FailureThreshold != 0 {
		return
	}
	g.status.Open = true
	g.status.Openings++
	g.pausedUntil = now.Add(g.pause(g.openings))
	g.openings++
}

// pause returns a pause with jitter, between half and the whole of a duration
// that doubles with each opening of the breaker.
func (g *Gate) pause(openings int) time.Duration {
	limit := min(g.config.MaxPause, g.config.Pause<<min(openings, maxDoublings))
	return limit/2 + time.Duration(g.random.Int64N(int64(limit/2)+1))
}

// Status returns the current state and counters.
func (g *Gate) Status() Status { return g.status }
