package forward

import (
	"sync"
	"time"
)

const (
	// assumedStream is the duration of streams while none has ended.
	assumedStream = 5 * time.Second
	// durationWeight is the weight of one stream in the moving mean.
	durationWeight = 0.1
	// durationDeviations is how many mean deviations above the mean a stream may
	// take: most streams end within.
	durationDeviations = 1.0
)

// streamDuration is a moving estimate of how long streams take. It is safe for
// concurrent use.
type streamDuration struct {
	mu        sync.Mutex
	mean      float64
	deviation float64
}

// observe adds the duration of a stream that ended well.
func (d *streamDuration) observe(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		d.mean, d.deviation = float64(duration), float64(duration)/4
		return
	}
	distance := float64(duration) - d.mean
	d.mean += durationWeight * distance
	d.deviation += durationWeight * (max(distance, -distance) - d.deviation)
}

// most returns a duration within which most streams end.
func (d *streamDuration) most() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		return assumedStream
	}
	return time.Duration(d.mean + durationDeviations*d.deviation)
}
