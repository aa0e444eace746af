package admission

import "time"

// bucket is a token bucket that may go into debt.
type bucket struct {
	level float64
	at    time.Duration
	known bool
}

// fill adds what the rate brings up to the burst of one second.
func (b *bucket) fill(now time.Duration, rate int) {
	burst := float64(rate)
	if !b.known {
		b.known, b.level, b.at = true, burst, now
		return
	}
	b.level = min(burst, b.level+float64(rate)*(now-b.at).Seconds())
	b.at = now
}

// until returns the time until the level reaches the amount.
func (b *bucket) until(amount float64, rate int) time.Duration {
	missing := amount - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(rate) * float64(time.Second))
}
