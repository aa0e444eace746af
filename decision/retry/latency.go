package retry

import (
	"slices"
	"time"
)

// maxLatencies is the number of recent calls that LatencyWindow holds.
const maxLatencies = 128

// minLatencies is the minimum number of calls for a percentile.
const minLatencies = 20

// LatencyWindow holds the durations of recent calls. It is not safe for
// concurrent use.
type LatencyWindow struct {
	recent []time.Duration
	next   int
}

// Observe records the duration of a call.
func (l *LatencyWindow) Observe(duration time.Duration) {
	if len(l.recent) < maxLatencies {
		l.recent = append(l.recent, duration)
		return
	}
	l.recent[l.next] = duration
	l.next = (l.next + 1) % maxLatencies
}

// Percentile returns the duration within which the given fraction of the
// recent calls (0 to 1) ended, and whether there were at least minLatencies calls.
func (l *LatencyWindow) Percentile(fraction float64) (time.Duration, bool) {
	if len(l.recent) < minLatencies {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(l.recent))
	index := min(int(fraction*float64(len(sorted))), len(sorted)-1)
	return sorted[index], true
}
