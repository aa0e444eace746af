package serverrate

import "time"

// allowance is a token bucket with the instance's part of a server's rate. A new one is empty.
type allowance struct {
	tokens    float64
	perSecond float64
	updatedAt time.Time
}

// update adds what has accrued since the last update, at the lower of the rates before and now, and sets the new rate.
func (a *allowance) update(now time.Time, perSecond, burst float64) {
	if !a.updatedAt.IsZero() {
		a.tokens += max(0, now.Sub(a.updatedAt).Seconds()) * min(a.perSecond, perSecond)
	}
	a.tokens = min(a.tokens, burst)
	a.perSecond, a.updatedAt = perSecond, now
}

// next returns the time until a request may be sent, false if none may be as things are.
func (a *allowance) next() (time.Duration, bool) {
	if a.perSecond <= 0 {
		return 0, false
	}
	return max(0, time.Duration((1-a.tokens)/a.perSecond*float64(time.Second))), true
}
