package budget

import "time"

// rate is a token bucket; one token is one call. Its level may become negative,
// which reserves calls ahead.
type rate struct {
	perSecond float64
	burst     float64
	level     float64
	filled    time.Time
}

func newRate(perSecond, burstSeconds float64) rate {
	burst := max(1, perSecond*burstSeconds)
	return rate{perSecond: perSecond, burst: burst, level: burst}
}

// wait returns the time until the bucket holds a token for one more call.
func (r *rate) wait(now time.Time) time.Duration {
	if !r.filled.IsZero() && now.After(r.filled) {
		r.level = min(r.burst, r.level+r.perSecond*now.Sub(r.filled).Seconds())
	}
	if now.After(r.filled) {
		r.filled = now
	}
	if r.level >= 1 {
		return 0
	}
	return time.Duration((1 - r.level) / r.perSecond * float64(time.Second))
}

// take removes the token of one call.
func (r *rate) take() { r.level-- }
