package claim

import "time"

// rateMemory is the span over which arrivals are averaged.
const rateMemory = 250 * time.Millisecond

// arrivalRate estimates the rate of arrivals as an average that decays.
type arrivalRate struct {
	last time.Time
	// weight counts arrivals, decayed to the time of the last one.
	weight float64
}

func (r *arrivalRate) arrived(now time.Time) {
	r.weight = r.decayed(now) + 1
	r.last = now
}

func (r *arrivalRate) decayed(now time.Time) float64 {
	passed := now.Sub(r.last)
	if r.last.IsZero() || passed >= rateMemory {
		return 0
	}
	return r.weight * (1 - float64(passed)/float64(rateMemory))
}

// expected returns the number of arrivals to expect within the span.
func (r *arrivalRate) expected(now time.Time, span time.Duration) float64 {
	return r.decayed(now) * float64(span) / float64(rateMemory)
}
