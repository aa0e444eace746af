package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 256

// meters updates the counters and histograms of requests.
type meters struct {
	registry metrics.Registry
}

func newMeters(registry metrics.Registry) *meters { return &meters{registry: registry} }

func (m *meters) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// set sets a gauge.
func (m *meters) set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

func (m *meters) rejected(code fault.Code) { m.count("requests.rejected." + string(code)) }

// served counts a request that a backend server answered.
func (m *meters) served(kind route.Kind) { m.count("requests.served." + kind.String()) }

// latency records the time to an answer, or to the first event of a stream, in
// milliseconds.
func (m *meters) latency(kind route.Kind, latency time.Duration) {
	name := "requests.latency_ms." + kind.String()
	histogram := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	if typed, ok := histogram.(metrics.Histogram); ok {
		metrics.Histogram.Update(typed, latency.Milliseconds())
	}
}

// attemptFailed counts a failed attempt.
func (m *meters) attemptFailed(code fault.Code) { m.count("attempts.failed." + string(code)) }
