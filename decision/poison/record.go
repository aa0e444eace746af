package poison

import (
	"slices"
	"time"
)

const (
	// maxRecorded is the maximum number of crashes in a record.
	maxRecorded = 8
	// minUnexplained is the number of crashes under requests without another part that show that a part is the cause
	// although others hold both.
	minUnexplained = 2
)

// record holds the crashes that count against one key.
type record struct {
	crashes []countedCrash
}

// countedCrash is a crash as it counts against one key.
type countedCrash struct {
	server  uint64
	request Key
	// parts are all parts of the request.
	parts []Key
	at    time.Time
}

// add adds a crash unless it is known, and reports whether it was new. Crashes under several requests
// within spacing count as one.
func (r *record) add(crash countedCrash, joinTime, spacing time.Duration) bool {
	known := slices.ContainsFunc(r.crashes, func(c countedCrash) bool {
		apart := c.at.Sub(crash.at).Abs()
		return (c.request != crash.request && apart < spacing) || (c.server == crash.server && apart <= joinTime)
	})
	if known {
		return false
	}
	r.crashes = append(r.crashes, crash)
	if excess := len(r.crashes) - maxRecorded; excess > 0 {
		r.crashes = slices.Delete(r.crashes, 0, excess)
	}
	return true
}

// requests returns the number of requests under which the crashes were.
func (r *record) requests() int {
	different := make(map[Key]bool, len(r.crashes))
	for _, crash := range r.crashes {
		different[crash.request] = true
	}
	return len(different)
}

// explainedBy reports whether the crashes may be due to another part, which most of the requests hold.
func (r *record) explainedBy(part Key) bool {
	with := 0
	for _, crash := range r.crashes {
		if slices.Contains(crash.parts, part) {
			with++
		}
	}
	return with >= minUnexplained && len(r.crashes)-with < minUnexplained
}

// keepNewest removes all crashes but the newest one.
func (r *record) keepNewest() {
	newest := slices.MaxFunc(r.crashes, func(a, b countedCrash) int { return a.at.Compare(b.at) })
	r.crashes = append(r.crashes[:0], newest)
}

// removeBefore removes the crashes before a time.
func (r *record) removeBefore(at time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c countedCrash) bool { return c.at.Before(at) })
}

// lastAt returns the time of the newest crash; zero for none.
func (r *record) lastAt() time.Time {
	var last time.Time
	for _, crash := range r.crashes {
		if crash.at.After(last) {
			last = crash.at
		}
	}
	return last
}
