package call

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// counts holds the number of answers of each kind.
type counts struct {
	answered    atomic.Int64
	replayed    atomic.Int64
	notRun      atomic.Int64
	unknown     atomic.Int64
	refusedHere atomic.Int64
}

func (c *counts) add(answer call.Finish) {
	switch {
	case answer.Replayed:
		c.replayed.Add(1)
	case answer.Fault == nil:
		c.answered.Add(1)
	case answer.Fault.Execution == fault.ExecutionNotRun:
		c.notRun.Add(1)
	case answer.Fault.Execution == fault.ExecutionUnknown:
		c.unknown.Add(1)
	default:
		c.refusedHere.Add(1)
	}
}

// statusTimeout limits the wait for the state of the shards.
const statusTimeout = 500 * time.Millisecond

// Status is the state of the calls in the dump.
type Status struct {
	Answered    int64 `json:"answered"`
	Replayed    int64 `json:"replayed"`
	NotRun      int64 `json:"not_run"`
	Unknown     int64 `json:"unknown"`
	RefusedHere int64 `json:"refused_here"`
	// AnswersDropped counts discarded answers that belonged to other requests.
	AnswersDropped int64        `json:"answers_dropped"`
	RetryBudget    float64      `json:"retry_budget"`
	Shards         []shardState `json:"shards"`
}

// Status returns the state of the calls.
func (c *Runner) Status() Status {
	ctx, cancel := context.WithTimeout(c.ctx, statusTimeout)
	defer cancel()
	return Status{
		Answered:       c.counts.answered.Load(),
		Replayed:       c.counts.replayed.Load(),
		NotRun:         c.counts.notRun.Load(),
		Unknown:        c.counts.unknown.Load(),
		RefusedHere:    c.counts.refusedHere.Load(),
		AnswersDropped: c.parts.Services.DroppedResponses(),
		RetryBudget:    c.budget.balance(),
		Shards:         c.shards.states(ctx),
	}
}
