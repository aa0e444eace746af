package suspicion

import "time"

// Weights of the newest gap in the moving averages, the usual ones of
// round-trip time estimation.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// leastMargin is the minimum time above the mean gap that counts as normal, as
// a multiple of the mean gap: a very steady stream may still be late once.
const leastMargin = 1.0

// Cadence is the moving estimate of one stream's token intervals. The zero value
// has observed none.
type Cadence struct {
	mean      float64
	deviation float64
	seen      bool
}

// Observe adds one token interval.
func (c *Cadence) Observe(gap time.Duration) {
	value := float64(gap)
	if !c.seen {
		*c = Cadence{mean: value, deviation: value / 2, seen: true}
		return
	}
	difference := value - c.mean
	c.mean += meanWeight * difference
	if difference < 0 {
		difference = -difference
	}
	c.deviation += deviationWeight * (difference - c.deviation)
}

// Budget returns the silence after which the stream counts as stalled.
func (c *Cadence) Budget(policy Policy) time.Duration {
	if !c.seen {
		return policy.Ceiling
	}
	margin := max(policy.Deviations*c.deviation, leastMargin*c.mean)
	budget := time.Duration(c.mean + margin)
	return min(max(budget, policy.Floor), policy.Ceiling)
}
