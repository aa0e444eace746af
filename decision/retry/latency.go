package retry

import (
	"slices"
	"time"
)

// latencyWindow is the number of recent calls that Latency remembers.
const latencyWindow = 128

// minLatencies is the number of calls needed before a percentile is given.
const minLatencies = 20

// Latency remembers how long recent calls took. It is not safe for concurrent
// use.
type LatencyWindow struct {
	recent []time.Duration
	next   int
}

// Observe notes the duration of a call.
func (l *LatencyWindow) Observe(duration time.Duration) {
	if len(l.recent) < latencyWindow {
		l.recent = append(l.recent, duration)
		return
	}
	l.recent[l.next] = duration
	l.next = (l.next + 1) % latencyWindow
}

// Percentile returns the duration within which the given part of the recent
// calls ended, and whether enough calls are known.
func (l *LatencyWindow) Percentile(part float64) (time.Duration, bool) {
	if len(l.recent) < minLatencies {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(l.recent))
	position := min(int(part*float64(len(sorted))), len(sorted)-1)
	return sorted[position], true
}
