package membership

import "time"

// bucket is a token bucket that bounds the bytes sent; one token is one byte.
type bucket struct {
	perSecond float64
	burst     float64
	level     float64
	filled    time.Time
}

func newBucket(perSecond, burst int) bucket {
	return bucket{perSecond: float64(perSecond), burst: float64(burst), level: float64(burst)}
}

// refill adds the bytes earned since the last call, up to the burst.
func (b *bucket) refill(now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.level = min(b.burst, b.level+b.perSecond*now.Sub(b.filled).Seconds())
	}
	if now.After(b.filled) {
		b.filled = now
	}
}

// allows reports whether the level allows sending the bytes.
func (b *bucket) allows(bytes int) bool { return b.level >= float64(bytes) }

// take removes the bytes from the level, which may become negative.
func (b *bucket) take(bytes int) { b.level -= float64(bytes) }
