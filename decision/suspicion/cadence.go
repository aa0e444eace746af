package suspicion

import "time"

// Weights of the newest gap in the moving averages, as in the estimation of
// round-trip times.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// leastMargin is the least time above the mean gap that is normal, as a
// multiple of the mean gap: a very steady stream may still be late once.
const leastMargin = 1.0

// Cadence is the moving estimate of one stream's gaps between tokens. The
// zero value has seen none.
type IntervalEstimator struct {
	mean      float64
	deviation float64
	seen      bool
}

// Observe adds the gap between two tokens.
func (c *IntervalEstimator) Observe(gap time.Duration) {
	value := float64(gap)
	if !c.seen {
		*c = IntervalEstimator{mean: value, deviation: value / 2, seen: true}
		return
	}
	difference := value - c.mean
	c.mean += meanWeight * difference
	if difference < 0 {
		difference = -difference
	}
	c.deviation += deviationWeight * (difference - c.deviation)
}

// Budget returns the silence after which the stream is suspected.
func (c *IntervalEstimator) SilenceTimeout(policy Policy) time.Duration {
	if !c.seen {
		return policy.MaxSilenceTimeout
	}
	margin := max(policy.Deviations*c.deviation, leastMargin*c.mean)
	budget := time.Duration(c.mean + margin)
	return min(max(budget, policy.MinSilenceTimeout), policy.MaxSilenceTimeout)
}
