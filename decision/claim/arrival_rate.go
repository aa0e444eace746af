package claim

import "time"

// rateWindow is the time over which arrivals are averaged.
const rateWindow = 250 * time.Millisecond

// arrivalRate estimates the rate of arrivals as a moving average. An arrival's
// weight falls linearly to zero over rateWindow.
type arrivalRate struct {
	last time.Time
	// weight is the decayed number of arrivals at the time of the last one.
	weight float64
}

func (r *arrivalRate) record(now time.Time) {
	r.weight = r.decayedWeight(now) + 1
	r.last = now
}

func (r *arrivalRate) decayedWeight(now time.Time) float64 {
	passed := now.Sub(r.last)
	if r.last.IsZero() || passed >= rateWindow {
		return 0
	}
	return r.weight * (1 - float64(passed)/float64(rateWindow))
}

// expected returns the number of arrivals expected within the given time span.
func (r *arrivalRate) expected(now time.Time, span time.Duration) float64 {
	return r.decayedWeight(now) * float64(span) / float64(rateWindow)
}
