// Package explain keeps recent decisions in bounded memory so that operators
// can ask why something happened.
package explain

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Recorder implements serving.Recorder with a circular buffer.
type Recorder struct {
	mu        sync.Mutex
	decisions []serving.Decision
	next      int
	full      bool
}

// NewRecorder returns a recorder that keeps the given number of decisions.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{decisions: make([]serving.Decision, capacity)}
}

// Record implements serving.Recorder. A decision without a time gets the
// current one.
func (r *Recorder) Record(decision serving.Decision) {
	if decision.Time.IsZero() {
		decision.Time = time.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions[r.next] = decision
	r.next++
	if r.next == len(r.decisions) {
		r.next, r.full = 0, true
	}
}

// Explain implements serving.Recorder.
func (r *Recorder) Explain(subject string) []serving.Decision {
	var found []serving.Decision
	for _, decision := range r.Recent(len(r.decisions)) {
		if decision.Subject == subject {
			found = append(found, decision)
		}
	}
	return found
}

// Recent returns up to count of the newest decisions, oldest first.
func (r *Recorder) Recent(count int) []serving.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ordered []serving.Decision
	if r.full {
		ordered = append(ordered, r.decisions[r.next:]...)
	}
	ordered = append(ordered, r.decisions[:r.next]...)
	return ordered[max(0, len(ordered)-count):]
}
