package pace

import (
	"slices"
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
	// peerReportLifetime is how long the report of a peer counts.
	peerReportLifetime = time.Minute
)

// CompletedGeneration is a generation that ended without an interruption.
type CompletedGeneration struct {
	// OutputTokens is the maximum number of tokens that was requested, Events the
	// number of events that were sent.
	OutputTokens int
	Events       int
	// Duration is the time from the first event to the last.
	Duration time.Duration
	// PromptTokens is the size of the prompt, 0 when unknown, and ReadTime the time from the
	// request to the first event.
	PromptTokens int
	ReadTime     time.Duration
}

// Estimator holds the moving estimates of one service, of this instance and its peers. The
// zero value has observed nothing. It is not safe for concurrent use.
type Estimator struct {
	observed int
	// eventInterval is the mean time between two events in nanoseconds,
	// eventsPerToken the number of events for each requested output token.
	eventInterval  moving.Mean
	eventsPerToken moving.Mean
	// readTimePerToken is the mean time to the first event for each prompt token in nanoseconds.
	readTimePerToken moving.Mean
	// peers holds the last report of each peer by its instance.
	peers map[string]peerReport
}

// peerReport is a report that a peer sent at a time.
type peerReport struct {
	report Report
	at     time.Time
}

// Observe adds a generation. One without an event interval is ignored.
func (e *Estimator) Observe(generation CompletedGeneration) {
	if generation.Events < 2 || generation.OutputTokens <= 0 || generation.Duration <= 0 {
		return
	}
	e.observed++
	e.eventInterval.Add(float64(generation.Duration) / float64(generation.Events-1))
	e.eventsPerToken.Add(float64(generation.Events) / float64(generation.OutputTokens))
	if generation.PromptTokens > 0 && generation.ReadTime > 0 {
		e.readTimePerToken.Add(float64(generation.ReadTime) / float64(generation.PromptTokens))
	}
}

// Report returns this instance's own estimate, not usable before the first generation.
func (e *Estimator) Report() Report {
	return Report{
		Observed:                e.observed,
		EventInterval:           time.Duration(e.eventInterval.Value()),
		EventIntervalDeviation:  time.Duration(e.eventInterval.Deviation()),
		EventsPerToken:          e.eventsPerToken.Value(),
		EventsPerTokenDeviation: e.eventsPerToken.Deviation(),
		ReadTimePerToken:        time.Duration(e.readTimePerToken.Value()),
		ReadTimeDeviation:       time.Duration(e.readTimePerToken.Deviation()),
	}
}

// SetPeerReport replaces the report of a peer. One that is not usable is ignored.
func (e *Estimator) SetPeerReport(now time.Time, instance string, report Report) {
	if !report.Usable() {
		return
	}
	if e.peers == nil {
		e.peers = make(map[string]peerReport)
	}
	e.peers[instance] = peerReport{report: report, at: now}
	for other, entry := range e.peers {
		if now.Sub(entry.at) > peerReportLifetime {
			delete(e.peers, other)
		}
	}
}

// MinTimeToEnd returns the minimum time that reading prompt tokens and then the events of a
// generation after a position are expected to take; 0 before minGenerations generations of all
// instances.
func (e *Estimator) MinTimeToEnd(now time.Time, promptTokens, outputTokens int, position uint64) time.Duration {
	combined := e.combined(now)
	if combined.Observed < minGenerations {
		return 0
	}
	readTimePerToken := lowEstimate(float64(combined.ReadTimePerToken), float64(combined.ReadTimeDeviation))
	eventsPerToken := lowEstimate(combined.EventsPerToken, combined.EventsPerTokenDeviation)
	eventInterval := lowEstimate(float64(combined.EventInterval), float64(combined.EventIntervalDeviation))
	remainingEvents := max(0, eventsPerToken*float64(outputTokens)-float64(position))
	return time.Duration(float64(promptTokens)*readTimePerToken) + time.Duration(remainingEvents*eventInterval)
}

// combined returns the estimate of all instances.
func (e *Estimator) combined(now time.Time) Report {
	reports := []Report{e.Report()}
	for _, entry := range e.peers {
		if now.Sub(entry.at) <= peerReportLifetime {
			reports = append(reports, entry.report)
		}
	}
	return combine(slices.DeleteFunc(reports, func(r Report) bool { return !r.Usable() }))
}

// lowEstimate returns a low estimate: few values are below it.
func lowEstimate(mean, deviation float64) float64 {
	return max(mean-lowDeviations*deviation, minMeanPart*mean)
}
