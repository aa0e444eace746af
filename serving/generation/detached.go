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
	runs   map[cursor.Fingerprint]*time.Timer
	closed bool
}

// keep starts a grace period. It calls end when the period is over, unless the
// caller reconnects before. It replaces an older grace period of the request.
func (d *detachedRuns) keep(request cursor.Fingerprint, wait time.Duration, end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	if older, ok := d.runs[request]; ok {
		older.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		d.mu.Lock()
		current := d.runs[request] == timer
		if current {
			delete(d.runs, request)
		}
		d.mu.Unlock()
		if current {
			end()
		}
	})
	d.runs[request] = timer
}

// back stops the grace period of a request whose caller reconnected.
func (d *detachedRuns) back(request cursor.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if timer, ok := d.runs[request]; ok {
		timer.Stop()
		delete(d.runs, request)
	}
}

func (d *detachedRuns) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.runs)
}

// close stops every grace period without cancelling the streams: the callers may
// resume them at other instances.
func (d *detachedRuns) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for request, timer := range d.runs {
		timer.Stop()
		delete(d.runs, request)
	}
}
