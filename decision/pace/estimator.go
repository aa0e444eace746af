package pace

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/internal/moving"
)

const (
	// minGenerations is the minimum number of generations for an estimate.
	minGenerations = 8
	// lowDeviations is the number of mean deviations below the mean at which a low
	// estimate lies: nearly all generations take longer.
	lowDeviations = 2.0
	// minMeanPart bounds a low estimate from below, as a part of the mean.
	minMeanPart = 0.5
)

// CompletedGeneration is a generation that ended without an interruption.
type CompletedGeneration struct {
	// OutputTokens is the maximum number of tokens that was requested, Events the
	// number of events that were sent.
	OutputTokens int
	Events       int
	// Duration is the time from the first event to the last.
	Duration time.Duration
}

// Estimator holds the moving estimates of one service. The zero value has
// observed nothing. It is not safe for concurrent use.
type Estimator struct {
	observed int
	// eventInterval is the mean time between two events in nanoseconds,
	// eventsPerToken the number of events for each requested output token.
	eventInterval  moving.Mean
	eventsPerToken moving.Mean
}

// Observe adds a generation. One without an event interval is ignored.
func (e *Estimator) Observe(generation CompletedGeneration) {
	if generation.Events < 2 || generation.OutputTokens <= 0 || generation.Duration <= 0 {
		return
	}
	e.observed++
	e.eventInterval.Add(float64(generation.Duration) / float64(generation.Events-1))
	e.eventsPerToken.Add(float64(generation.Events) / float64(generation.OutputTokens))
}

// MinRemainingTime returns the minimum time that the events of a generation after
// a position are expected to take; 0 before minGenerations generations.
func (e *Estimator) MinRemainingTime(outputTokens int, position uint64) time.Duration {
	if e.observed < minGenerations {
		return 0
	}
	remainingEvents := lowEstimate(&e.eventsPerToken)*float64(outputTokens) - float64(position)
	return time.Duration(max(0, remainingEvents) * lowEstimate(&e.eventInterval))
}

// lowEstimate returns a low estimate: few values are below it.
func lowEstimate(mean *moving.Mean) float64 {
	return max(mean.PlusDeviations(-lowDeviations), minMeanPart*mean.Value())
}
