package budget

import "time"

// tokenBucket bounds the rate of calls; one token is one call. Its level may
// become negative, which reserves calls ahead.
type tokenBucket struct {
	perSecond float64
	burst     float64
	level     float64
	filled    time.Time
}

func newTokenBucket(perSecond, burstSeconds float64) tokenBucket {
	burst := max(1, perSecond*burstSeconds)
	return tokenBucket{perSecond: perSecond, burst: burst, level: burst}
}

// wait returns the time until the bucket holds a token for one more call.
func (b *tokenBucket) wait(now time.Time) time.Duration {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.level = min(b.burst, b.level+b.perSecond*now.Sub(b.filled).Seconds())
	}
	if now.After(b.filled) {
		b.filled = now
	}
	if b.level >= 1 {
		return 0
	}
	return time.Duration((1 - b.level) / b.perSecond * float64(time.Second))
}

// take removes the token of one call.
func (b *tokenBucket) take() { b.level-- }
