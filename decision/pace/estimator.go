package pace

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/internal/moving"
)

const (
	// leastSeen is the number of generations before anything is said.
	leastSeen = 8
	// deviations is how many mean deviations below the mean still count as
	// possible: nearly all generations take longer.
	deviations = 2.0
	// leastPart bounds that from below, as a part of the mean.
	leastPart = 0.5
)

// Generation is one that ran to its end without an interruption.
type CompletedGeneration struct {
	// OutputTokens is the most that it could make, Events the number of events
	// that it sent.
	OutputTokens int
	Events       int
	// Took is the time from its first event to its last.
	Duration time.Duration
}

// Estimator holds what was learned of one service. The zero value knows nothing.
// It is not safe for concurrent use.
type Estimator struct {
	seen int
	// gap is the time between two events in nanoseconds, rate the number of
	// events for each output token that was asked for.
	gap  moving.Mean
	rate moving.Mean
}

// Observe adds a generation.
func (e *Estimator) Observe(generation CompletedGeneration) {
	if generation.Events < 2 || generation.OutputTokens <= 0 || generation.Duration <= 0 {
		return
	}
	e.seen++
	e.gap.Add(float64(generation.Duration) / float64(generation.Events-1))
	e.rate.Add(float64(generation.Events) / float64(generation.OutputTokens))
}

// Least returns the shortest time in which the events of a generation after a
// position can be expected; 0 when too little is known.
func (e *Estimator) MinRemainingTime(outputTokens int, position uint64) time.Duration {
	if e.seen < leastSeen {
		return 0
	}
	rest := low(&e.rate)*float64(outputTokens) - float64(position)
	return time.Duration(max(0, rest) * low(&e.gap))
}

// low returns a value that few are below.
func low(mean *moving.Mean) float64 { return max(mean.Offset(-deviations), leastPart*mean.Value()) }
