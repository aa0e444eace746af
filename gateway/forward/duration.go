package forward

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/internal/moving"
)

const (
	// defaultStreamDuration is assumed for streams until one has ended.
	defaultStreamDuration = 5 * time.Second
	// durationDeviations is the number of mean deviations above the mean within
	// which most streams end.
	durationDeviations = 1.0
)

// streamDuration is a moving estimate of how long streams take. It is safe for
// concurrent use.
type streamDuration struct {
	mu   sync.Mutex
	mean moving.Mean
}

// observe adds the duration of a stream that completed.
func (d *streamDuration) observe(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mean.Add(float64(duration))
}

// upperEstimate returns a duration within which most streams end.
func (d *streamDuration) upperEstimate() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mean.HasValue() {
		return defaultStreamDuration
	}
	return time.Duration(d.mean.PlusDeviations(durationDeviations))
}
