package budget

import (
	"math/rand/v2"
	"time"
)

// maxDoublings bounds the growth of the breaker's pause.
const maxDoublings = 8

// Gate decides about every call of one process.
type Gate struct {
	config Config
	random *rand.Rand
	reads  rate
	writes rate

	failures int
	openings int
	// closedUntil is the end of the breaker's pause, zero while it is closed.
	closedUntil time.Time
	status      Status
}

// NewGate returns a gate that lets calls through.
func NewGate(config Config, random *rand.Rand) *Gate {
	config = config.WithDefaults()
	return &Gate{
		config: config,
		random: random,
		reads:  newRate(config.ReadsPerSecond, config.BurstSeconds),
		writes: newRate(config.WritesPerSecond, config.BurstSeconds),
	}
}

// Admit decides about one call.
func (g *Gate) Admit(now time.Time, class Class) Decision {
	if wait := g.closedUntil.Sub(now); wait > 0 {
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
		// A probe: the next one only after the interval, unless this succeeds.
		g.closedUntil = now.Add(g.config.ProbeInterval)
	}
	g.count(class)
	return Decision{Allowed: true, Wait: wait}
}

func (g *Gate) count(class Class) {
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

// Done reports the end of an allowed call.
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
		g.closedUntil = time.Time{}
	case RateLimited:
		g.status.Limited++
		g.closedUntil = now.Add(g.pause(0))
	case Failed:
		g.status.Failed++
		g.failed(now)
	case Cancelled:
	}
}

// failed opens the breaker after enough failures in a row, and again after a
// failed probe.
func (g *Gate) failed(now time.Time) {
	g.failures++
	if g.failures < g.config.FailureThreshold {
		return
	}
	if g.status.Open && now.Before(g.closedUntil) && g.failures%g.config.FailureThreshold != 0 {
		return
	}
	g.status.Open = true
	g.status.Openings++
	g.closedUntil = now.Add(g.pause(g.openings))
	g.openings++
}

// pause returns a pause with jitter, between a half and the whole of a time
// that doubles with each opening.
func (g *Gate) pause(openings int) time.Duration {
	limit := min(g.config.MaxPause, g.config.Pause<<min(openings, maxDoublings))
	return limit/2 + time.Duration(g.random.Int64N(int64(limit/2)+1))
}

// Status returns the current state.
func (g *Gate) Status() Status { return g.status }
