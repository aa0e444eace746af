package dump

import (
	"cmp"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// Counter is the name and the current value of one metric of a process.
type Counter struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// The suffixes of the two counters that a histogram is reported as.
const (
	SuffixP95 = ".p95"
	SuffixMax = ".max"
)

// p95 is the quantile reported under SuffixP95.
const p95 = 0.95

// Counters returns the counters, gauges and histograms of a registry, sorted by
// name. Other kinds of metric are left out.
func Counters(registry metrics.Registry) []Counter {
	var counters []Counter
	add := func(name string, value float64) { counters = append(counters, Counter{name, value}) }
	registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case metrics.Counter:
			add(name, float64(metric.Count()))
		case metrics.Gauge:
			add(name, float64(metric.Value()))
		case metrics.Histogram:
			snapshot := metric.Snapshot()
			add(name+SuffixP95, snapshot.Percentile(p95))
			add(name+SuffixMax, float64(snapshot.Max()))
		}
	})
	slices.SortFunc(counters, func(a, b Counter) int { return cmp.Compare(a.Name, b.Name) })
	return counters
}
