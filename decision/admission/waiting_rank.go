package admission

import (
	"math"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
)

// countHalfLife is the half-life of the counted arrivals and starts.
const countHalfLife = 5 * time.Second

// waitingRank holds the waiting requests of one rank.
type waitingRank struct {
	queue *fairqueue.Queue
	// arrived and started are the requests of the last seconds, including those that started without waiting; queued are
	// those that had to wait.
	arrived, started, queued float64
	countedAt                time.Duration
}

// decay reduces the counts by the time since the last change.
func (r *waitingRank) decay(now time.Duration) {
	if now > r.countedAt {
		factor := math.Exp2(-float64(now-r.countedAt) / float64(countHalfLife))
		r.arrived, r.started, r.queued = r.arrived*factor, r.started*factor, r.queued*factor
		r.countedAt = now
	}
}

// queuedRate returns the requests a second that had to wait.
func (r *waitingRank) queuedRate() float64 { return r.queued * math.Ln2 / countHalfLife.Seconds() }
