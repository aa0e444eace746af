package generation

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
)

// detachedRuns holds the generations whose keyed callers disconnected, until
// their grace period ends or the caller reconnects. It is safe for concurrent
// use.
type detachedRuns struct {
	mu     sync.Mutex
	timers map[cursor.Fingerprint]*time.Timer
	closed bool
}

// start starts a grace period. It calls end when the period is over, unless the
// caller reconnects before. It replaces an older grace period of the request.
func (d *detachedRuns) start(request cursor.Fingerprint, period time.Duration, end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	if older, ok := d.timers[request]; ok {
		older.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(period, func() {
		d.mu.Lock()
		current := d.timers[request] == timer
		if current {
			delete(d.timers, request)
		}
		d.mu.Unlock()
		if current {
			end()
		}
	})
	d.timers[request] = timer
}

// stop stops the grace period of a request whose caller reconnected.
func (d *detachedRuns) stop(request cursor.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if timer, ok := d.timers[request]; ok {
		timer.Stop()
		delete(d.timers, request)
	}
}

func (d *detachedRuns) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.timers)
}

// stopAll stops every grace period without cancelling the streams: the callers
// may resume them at other instances.
func (d *detachedRuns) stopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for request, timer := range d.timers {
		timer.Stop()
		delete(d.timers, request)
	}
}
