package call

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/retry"
)

// Limits of the retries and hedges of idempotent calls.
const (
	retryRatio = 0.1
	retryLimit = 20
	// hedgePercentile is the fraction of calls that end before a hedge is sent.
	hedgePercentile = 0.95
	// minHedgeDelay prevents hedges of fast operations at every short pause.
	minHedgeDelay = 5 * time.Millisecond
)

// lockedBudget is a retry budget for concurrent use.
type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func (b *lockedBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
}

func (b *lockedBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take()
}

func (b *lockedBudget) balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Balance()
}

// latencies holds the latency distribution of the calls of each operation.
type latencies struct {
	mu          sync.Mutex
	byOperation map[string]*retry.LatencyWindow
}

func (l *latencies) observe(operation string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byOperation[operation] == nil {
		l.byOperation[operation] = &retry.LatencyWindow{}
	}
	l.byOperation[operation].Observe(duration)
}

// hedgeDelay returns the time after which a call is hedged, zero for no hedge.
func (l *latencies) hedgeDelay(operation string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	latency := l.byOperation[operation]
	if latency == nil {
		return 0
	}
	delay, known := latency.Percentile(hedgePercentile)
	if !known {
		return 0
	}
	return max(delay, minHedgeDelay)
}
