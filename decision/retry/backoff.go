package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with full jitter.
type Backoff struct {
	// Base is the upper end of the first wait.
	Base time.Duration
	// Limit is the upper end of every wait.
	Max time.Duration
}

// maxShift keeps the exponent in range.
const maxShift = 30

// Delay returns the wait before the given retry, counted from 0: uniform
// between 0 and Base doubled for each retry, at most Limit.
func (b Backoff) Delay(random *rand.Rand, retry int) time.Duration {
	bound := b.Max
	if shifted := b.Base << min(retry, maxShift); shifted > 0 && shifted < bound {
		bound = shifted
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}
