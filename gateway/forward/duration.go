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

// callDeviations is the number of mean deviations above the mean within which nearly all calls end.
const callDeviations = 3.0

// callDurations are moving estimates of how long the calls of each service take. It is safe for concurrent use.
type callDurations struct {
	mu       sync.Mutex
	services map[string]*moving.Mean
}

// observe adds the duration of a call that a server of a service answered.
func (d *callDurations) observe(service string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean := d.services[service]
	if mean == nil {
		if d.services == nil {
			d.services = make(map[string]*moving.Mean)
		}
		mean = &moving.Mean{}
		d.services[service] = mean
	}
	mean.Add(float64(duration))
}

// upperEstimate returns a duration within which nearly all calls of a service end, 0 before the first.
func (d *callDurations) upperEstimate(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean := d.services[service]
	if mean == nil {
		return 0
	}
	return time.Duration(mean.PlusDeviations(callDeviations))
}

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
