package retry

import (
	"slices"
	"time"
)

// latencyWindow is the number of recent calls that Latency holds.
const latencyWindow = 128

// minLatencies is the minimum number of calls for a percentile.
const minLatencies = 20

// Latency holds the durations of recent calls. It is not safe for concurrent
// use.
type Latency struct {
	recent []time.Duration
	next   int
}

// Observe records the duration of a call.
func (l *Latency) Observe(duration time.Duration) {
	if len(l.recent) < latencyWindow {
		l.recent = append(l.recent, duration)
		return
	}
	l.recent[l.next] = duration
	l.next = (l.next + 1) % latencyWindow
}

// Percentile returns the duration within which the given part of the recent
// calls (0 to 1) ended, and whether there were at least minLatencies calls.
func (l *Latency) Percentile(part float64) (time.Duration, bool) {
	if len(l.recent) < minLatencies {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(l.recent))
	position := min(int(part*float64(len(sorted))), len(sorted)-1)
	return sorted[position], true
}
