package call

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/retry"
)

// Bounds of the retries of idempotent calls.
const (
	retryRatio = 0.1
	retryLimit = 20
	// hedgePercentile is the part of the calls that end before a hedge.
	hedgePercentile = 0.95
	// minHedgeDelay keeps fast operations from being hedged at every hiccup.
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

// latencies remembers how long the calls of each operation took.
type latencies struct {
	mu    sync.Mutex
	known map[string]*retry.LatencyWindow
}

func (l *latencies) observe(operation string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[operation] == nil {
		l.known[operation] = &retry.LatencyWindow{}
	}
	l.known[operation].Observe(duration)
}

// hedgeAfter returns when a second attempt starts, zero when it must not.
func (l *latencies) hedgeAfter(operation string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	latency := l.known[operation]
	if latency == nil {
		return 0
	}
	delay, known := latency.Percentile(hedgePercentile)
	if !known {
		return 0
	}
	return max(delay, minHedgeDelay)
}
