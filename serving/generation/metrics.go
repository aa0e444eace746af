package generation

import (
	"github.com/rcrowley/go-metrics"

	decision "github.com/wisteriahaven/wisteriahaven/decision/generation"
)

// Names of the metrics. MetricResumedByKind is followed by the kind of the
// attempt that resumed a generation.
const (
	MetricResumedByKind      = "generation.repaired."
	MetricRecomputed         = "generation.tokens_recomputed"
	MetricDiscarded          = "generation.tokens_discarded"
	MetricRepeatedPrefill    = "generation.tokens_prefilled_again"
	MetricProtocolViolations = "generation.protocol_violations"
	MetricDetached           = "generation.detached"
	MetricAbandoned          = "generation.abandoned"
)

// generationMetrics adds to the counters of all generations of an instance.
type generationMetrics struct{ registry metrics.Registry }

func (m generationMetrics) add(name string, count int) {
	if count > 0 {
		metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(count))
	}
}

// addCounters adds the counters of one generation when it ends at this instance.
func (m generationMetrics) addCounters(counters decision.Counters) {
	m.add(MetricRecomputed, counters.Recomputed)
	m.add(MetricDiscarded, counters.Discarded)
	m.add(MetricRepeatedPrefill, counters.RepeatedPrefill)
	m.add(MetricProtocolViolations, counters.ProtocolViolations)
}
