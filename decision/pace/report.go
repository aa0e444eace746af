package pace

import (
	"math"
	"time"
)

// Report is the estimate of one instance, as it tells its peers.
type Report struct {
	// Observed is the number of generations behind the estimate.
	Observed int
	// EventInterval is the mean time between two events, EventsPerToken the mean number of events
	// for each requested output token; each with its mean deviation.
	EventInterval           time.Duration
	EventIntervalDeviation  time.Duration
	EventsPerToken          float64
	EventsPerTokenDeviation float64
	// ReadTimePerToken is the mean time to the first event for each prompt token, with its mean
	// deviation; 0 when unknown.
	ReadTimePerToken  time.Duration
	ReadTimeDeviation time.Duration
}

// Usable reports whether the numbers of a report can be used.
func (r Report) Usable() bool {
	return r.Observed > 0 && r.EventInterval > 0 && r.EventIntervalDeviation >= 0 && r.EventsPerToken > 0 && r.EventsPerTokenDeviation >= 0 &&
		r.ReadTimePerToken >= 0 && r.ReadTimeDeviation >= 0
}

// maxObserved bounds the weight of one instance's report: moving estimates follow their last
// generations only.
const maxObserved = 20

// combine returns the mean of reports, each weighted by its number of generations.
func combine(reports []Report) Report {
	var sum Report
	interval := combineMeans(reports, func(r Report) (float64, float64) { return float64(r.EventInterval), float64(r.EventIntervalDeviation) })
	events := combineMeans(reports, func(r Report) (float64, float64) { return r.EventsPerToken, r.EventsPerTokenDeviation })
	reading := combineMeans(reports, func(r Report) (float64, float64) { return float64(r.ReadTimePerToken), float64(r.ReadTimeDeviation) })
	for _, report := range reports {
		sum.Observed += min(report.Observed, maxObserved)
	}
	sum.EventInterval, sum.EventIntervalDeviation = time.Duration(interval.mean), time.Duration(interval.deviation)
	sum.EventsPerToken, sum.EventsPerTokenDeviation = events.mean, events.deviation
	sum.ReadTimePerToken, sum.ReadTimeDeviation = time.Duration(reading.mean), time.Duration(reading.deviation)
	return sum
}

// meanDeviation is a mean with its mean deviation.
type meanDeviation struct {
	mean, deviation float64
}

// combineMeans combines one mean of each report. The deviation consists of that within the reports
// and that between them; a report of one generation has only assumed its own.
func combineMeans(reports []Report, of func(Report) (mean, deviation float64)) meanDeviation {
	var combined meanDeviation
	total := 0.0
	for _, report := range reports {
		weight := float64(min(report.Observed, maxObserved))
		mean, _ := of(report)
		combined.mean += weight * mean
		total += weight
	}
	if total == 0 {
		return meanDeviation{}
	}
	combined.mean /= total
	for _, report := range reports {
		weight := float64(min(report.Observed, maxObserved))
		mean, deviation := of(report)
		combined.deviation += weight*math.Abs(mean-combined.mean) + (weight-1)*deviation
	}
	combined.deviation /= total
	return combined
}
