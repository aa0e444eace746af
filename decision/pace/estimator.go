package pace

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/internal/moving"
)

const (
	// leastSeen is the minimum number of generations for an estimate.
	leastSeen = 8
	// deviations is the number of mean deviations below the mean at which a low
	// estimate lies: nearly all generations take longer.
	deviations = 2.0
	// leastPart bounds a low estimate from below, as a part of the mean.
	leastPart = 0.5
)

// Generation is a generation that ended without an interruption.
type Generation struct {
	// OutputTokens is the maximum number of tokens that was requested, Events the
	// number of events that were sent.
	OutputTokens int
	Events       int
	// Took is the time from the first event to the last.
	Took time.Duration
}

// Estimator holds the moving estimates of one service. The zero value has
// observed nothing. It is not safe for concurrent use.
type Estimator struct {
	seen int
	// gap is the time between two events in nanoseconds, rate the number of
	// events for each output token that was requested.
	gap  moving.Mean
	rate moving.Mean
}

// Observe adds a generation. One without an event interval is ignored.
func (e *Estimator) Observe(generation Generation) {
	if generation.Events < 2 || generation.OutputTokens <= 0 || generation.Took <= 0 {
		return
	}
	e.seen++
	e.gap.Add(float64(generation.Took) / float64(generation.Events-1))
	e.rate.Add(float64(generation.Events) / float64(generation.OutputTokens))
}

// Least returns the minimum time that the events of a generation after a position
// can be expected to take; 0 before leastSeen generations.
func (e *Estimator) Least(outputTokens int, position uint64) time.Duration {
	if e.seen < leastSeen {
		return 0
	}
	rest := low(&e.rate)*float64(outputTokens) - float64(position)
	return time.Duration(max(0, rest) * low(&e.gap))
}

// low returns a low estimate: few values are below it.
func low(mean *moving.Mean) float64 { return max(mean.Offset(-deviations), leastPart*mean.Value()) }
