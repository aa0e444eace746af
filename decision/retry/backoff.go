package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delays of an exponential backoff with full jitter.
type Backoff struct {
	// Base is the maximum of the first delay.
	Base time.Duration
	// Max is the maximum of every delay.
	Max time.Duration
}

// maxShift bounds the exponent, so that the shift can't overflow for usual bases.
const maxShift = 30

// Delay returns the delay before the given retry, counted from 0. It is uniform
// between 0 and Base doubled for each retry, at most Max.
func (b Backoff) Delay(random *rand.Rand, retry int) time.Duration {
	bound := b.Max
	if shifted := b.Base << min(retry, maxShift); shifted > 0 && shifted < bound {
		bound = shifted
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}
