package generation

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
)

// detachedRuns holds the generations whose keyed callers are gone, until their
// grace period ends or the caller comes back. It is safe for concurrent use.
type detachedRuns struct {
	mu     sync.Mutex
	runs   map[cursor.Fingerprint]*time.Timer
	closed bool
}

// keep runs the end of the grace period after the wait, unless the caller
// comes back before.
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

// back ends the grace period of a request whose caller came back.
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

// close drops every grace period. The streams are left to their callers, who
// may continue them at other instances.
func (d *detachedRuns) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for request, timer := range d.runs {
		timer.Stop()
		delete(d.runs, request)
	}
}
