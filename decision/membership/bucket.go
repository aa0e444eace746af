package membership

import "time"

// bucket bounds the bytes sent.
type bucket struct {
	perSecond float64
	burst     float64
	level     float64
	filled    time.Time
}

func newBucket(perSecond, burst int) bucket {
	return bucket{perSecond: float64(perSecond), burst: float64(burst), level: float64(burst)}
}

// fill adds the bytes that the time since the last call allows.
func (b *bucket) fill(now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.level = min(b.burst, b.level+b.perSecond*now.Sub(b.filled).Seconds())
	}
	if now.After(b.filled) {
		b.filled = now
	}
}

// holds reports whether the bytes may be sent.
func (b *bucket) holds(bytes int) bool { return b.level >= float64(bytes) }

// take removes the bytes; the level may become negative.
func (b *bucket) take(bytes int) { b.level -= float64(bytes) }
