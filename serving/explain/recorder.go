// Package explain implements serving.Recorder: it keeps recent decisions in
// bounded memory so that operators can query why something happened.
package explain

import (
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Recorder implements serving.Recorder with a circular buffer, which grows up
// to its capacity.
type Recorder struct {
	capacity int
	mu       sync.Mutex
	// decisions holds the oldest decision at next and wraps around at its end.
	decisions []serving.Decision
	next      int
}

// NewRecorder returns a recorder that keeps the given number of decisions.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{capacity: capacity}
}

// Record implements serving.Recorder. A decision without a time gets the
// current one.
func (r *Recorder) Record(decision serving.Decision) {
	if decision.Time.IsZero() {
		decision.Time = time.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.decisions) < r.capacity {
		r.decisions = append(r.decisions, decision)
		return
	}
	r.decisions[r.next] = decision
	r.next = (r.next + 1) % r.capacity
}

// Explain implements serving.Recorder.
func (r *Recorder) Explain(subject string) []serving.Decision {
	return r.find(func(decision serving.Decision) bool { return decision.Subject == subject })
}

// About returns the kept decisions about a subject or a backend server, oldest
// first.
func (r *Recorder) About(name string) []serving.Decision {
	return r.find(func(decision serving.Decision) bool { return decision.Subject == name || decision.Server == name })
}

// find returns the kept decisions that match, oldest first.
func (r *Recorder) find(match func(serving.Decision) bool) []serving.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := appendMatches(nil, r.decisions[r.next:], match)
	return appendMatches(found, r.decisions[:r.next], match)
}

func appendMatches(found, decisions []serving.Decision, match func(serving.Decision) bool) []serving.Decision {
	for _, decision := range decisions {
		if match(decision) {
			found = append(found, decision)
		}
	}
	return found
}

// Recent returns up to count of the newest decisions, oldest first.
func (r *Recorder) Recent(count int) []serving.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.decisions[:r.next]
	if count <= len(newest) {
		return slices.Clone(newest[len(newest)-count:])
	}
	older := r.decisions[r.next:]
	rest := min(count-len(newest), len(older))
	return slices.Concat(older[len(older)-rest:], newest)
}
