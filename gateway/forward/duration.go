package forward

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/internal/moving"
)

const (
	// assumedStream is the duration of streams while none has ended.
	assumedStream = 5 * time.Second
	// durationDeviations is how many mean deviations above the mean a stream may
	// take: most streams end within.
	durationDeviations = 1.0
)

// streamDuration is a moving estimate of how long streams take. It is safe for
// concurrent use.
type streamDuration struct {
	mu   sync.Mutex
	mean moving.Mean
}

// observe adds the duration of a stream that ended well.
func (d *streamDuration) observe(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mean.Add(float64(duration))
}

// most returns a duration within which most streams end.
func (d *streamDuration) most() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mean.HasValue() {
		return assumedStream
	}
	return time.Duration(d.mean.PlusDeviations(durationDeviations))
}
