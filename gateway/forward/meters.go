package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// sampleSize is the number of values behind a histogram.
const sampleSize = 256

// meters counts what happens to requests.
type meters struct {
	registry metrics.Registry
}

func newMeters(registry metrics.Registry) *meters { return &meters{registry: registry} }

func (m *meters) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *meters) rejected(code fault.Code) { m.count("requests.rejected." + string(code)) }

// served counts an answer of a backend server and its latency in milliseconds;
// of a stream, that of its first event.
func (m *meters) served(kind route.Kind, latency time.Duration) {
	m.count("requests.served." + kind.String())
	name := "requests.latency_ms." + kind.String()
	histogram := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	if known, ok := histogram.(metrics.Histogram); ok {
		metrics.Histogram.Update(known, latency.Milliseconds())
	}
}

// attemptFailed counts a failed attempt.
func (m *meters) attemptFailed(code fault.Code) { m.count("attempts.failed." + string(code)) }
