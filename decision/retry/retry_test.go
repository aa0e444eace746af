package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/retry"
)

func TestRetriesStayAShareOfTheRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		const ratio, limit = 0.1, 10
		budget := retry.NewBudget(ratio, limit)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest()
				requests++
				continue
			}
			if budget.Take() {
				retries++
			}
		}
		is.True(float64(retries) <= limit+ratio*float64(requests)+1e-6)
	})
}

func TestBackoffStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		backoff := retry.Backoff{Base: 10 * time.Millisecond, Max: time.Second}
		count := rapid.IntRange(0, 100).Draw(t, "retry")
		delay := backoff.Delay(random, count)
		is.True(delay >= 0 && delay <= backoff.Max)
		is.True(count > 6 || delay <= backoff.Base<<count)
	})
}

func TestLatencyPercentileNeedsEnoughCalls(t *testing.T) {
	is := is.New(t)
	var latency retry.LatencyWindow
	for i := range 19 {
		latency.Observe(time.Duration(i) * time.Millisecond)
	}
	_, known := latency.Percentile(0.95)
	is.True(!known)
	for i := 19; i < 100; i++ {
		latency.Observe(time.Duration(i) * time.Millisecond)
	}
	p95, known := latency.Percentile(0.95)
	is.True(known)
	is.Equal(p95, 95*time.Millisecond)
}
