package generation

import (
	"github.com/rcrowley/go-metrics"

	decision "github.com/wisteriahaven/wisteriahaven/decision/generation"
)

// Names of the metrics. Those of repairs are followed by the attempt's kind.
const (
	MetricResumedByKind      = "generation.repaired."
	MetricRecomputed         = "generation.tokens_recomputed"
	MetricDiscarded          = "generation.tokens_discarded"
	MetricRepeatedPrefill    = "generation.tokens_prefilled_again"
	MetricProtocolViolations = "generation.protocol_violations"
	MetricDetached           = "generation.detached"
	MetricAbandoned          = "generation.abandoned"
)

// meters count the work of all generations of an instance.
type meters struct{ registry metrics.Registry }

func (m meters) add(name string, count int) {
	if count > 0 {
		metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(count))
	}
}

// account adds the counters of a generation that ended.
func (m meters) account(counters decision.Counters) {
	m.add(MetricRecomputed, counters.Recomputed)
	m.add(MetricDiscarded, counters.Discarded)
	m.add(MetricRepeatedPrefill, counters.RepeatedPrefill)
	m.add(MetricProtocolViolations, counters.ProtocolViolations)
}
