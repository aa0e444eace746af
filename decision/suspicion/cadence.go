package suspicion

import "time"

// Weights of the newest interval in the moving averages, the usual ones of
// round-trip time estimation.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// minMargin is the minimum time above the mean interval that counts as normal,
// as a multiple of the mean: a very steady stream may still be late once.
const minMargin = 1.0

// IntervalEstimator is the moving estimate of one stream's token intervals. The
// zero value has observed none.
type IntervalEstimator struct {
	meanInterval  float64
	meanDeviation float64
	observed      bool
}

// Observe adds one token interval.
func (c *IntervalEstimator) Observe(interval time.Duration) {
	value := float64(interval)
	if !c.observed {
		*c = IntervalEstimator{meanInterval: value, meanDeviation: value / 2, observed: true}
		return
	}
	difference := value - c.meanInterval
	c.meanInterval += meanWeight * difference
	if difference < 0 {
		difference = -difference
	}
	c.meanDeviation += deviationWeight * (difference - c.meanDeviation)
}

// SilenceTimeout returns the silence after which the stream counts as stalled.
func (c *IntervalEstimator) SilenceTimeout(policy Policy) time.Duration {
	if !c.observed {
		return policy.MaxSilenceTimeout
	}
	margin := max(policy.Deviations*c.meanDeviation, minMargin*c.meanInterval)
	timeout := time.Duration(c.meanInterval + margin)
	return min(max(timeout, policy.MinSilenceTimeout), policy.MaxSilenceTimeout)
}
