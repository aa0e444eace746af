package admission

import "time"

// bucket is a token bucket whose level may become negative.
type bucket struct {
	level  float64
	at     time.Duration
	filled bool
}

// fill adds the refill since the last fill at a rate per second, up to that of the
// burst window and at least one. The first fill sets this maximum.
func (b *bucket) fill(now time.Duration, rate float64, window time.Duration) {
	burst := max(1, rate*window.Seconds())
	if !b.filled {
		b.filled, b.level, b.at = true, burst, now
		return
	}
	b.level = min(burst, b.level+rate*(now-b.at).Seconds())
	b.at = now
}

// timeUntil returns the time until the level reaches the amount at a rate per second.
func (b *bucket) timeUntil(amount, rate float64) time.Duration {
	missing := amount - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}
