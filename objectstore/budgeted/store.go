// Package budgeted limits the platform calls of a process with one shared request budget. A
// Store applies it to every call; it does not retry.
package budgeted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/budget"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// Gate applies the decisions of decision/budget. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	gate   *budget.Gate
	config budget.Config
}

// NewGate returns a gate. All stores of a process share one.
func NewGate(config budget.Config, seed uint64) *Gate {
	return &Gate{gate: budget.NewGate(config, rand.New(rand.NewPCG(seed, 1))), config: config.WithDefaults()}
}

// Status returns the counters of the calls so far and the state of the breaker.
func (g *Gate) Status() budget.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Status()
}

// Config returns the limits of the budget, defaults filled in.
func (g *Gate) Config() budget.Config { return g.config }

// Do makes one call if the budget allows it, after the wait that the budget requires. Otherwise
// the call is not sent and Do returns PlatformRateLimited when the budget is used up or
// PlatformUnavailable while the breaker is open, both with RetryAfter.
func (g *Gate) Do(ctx context.Context, class budget.Class, call func(ctx context.Context) error) error {
	g.mu.Lock()
	verdict := g.gate.Admit(time.Now(), class)
	g.mu.Unlock()
	if !verdict.Allowed {
		return rejectionError(verdict)
	}
	if err := waitForBudget(ctx, verdict.Wait); err != nil {
		g.recordOutcome(class, budget.Cancelled)
		return err
	}
	err := call(ctx)
	g.recordOutcome(class, outcomeOf(ctx, err))
	return err
}

func (g *Gate) recordOutcome(class budget.Class, outcome budget.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Done(time.Now(), class, outcome)
}

func rejectionError(verdict budget.Decision) error {
	if verdict.BreakerOpen {
		return fault.New(fault.PlatformUnavailable, "the platform keeps failing; the call was not sent").WithRetryAfter(verdict.Wait)
	}
	return fault.New(fault.PlatformRateLimited, "the call is over this instance's budget and was not sent").WithRetryAfter(verdict.Wait)
}

// waitForBudget waits as long as the budget requires. An error means that the context ended
// first and the call was not sent.
func waitForBudget(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fault.Wrap(fault.PlatformUnavailable, "budgeted", "cancelled before the call was sent", ctx.Err())
	case <-timer.C:
		return nil
	}
}

// outcomeOf returns the outcome of a call for the budget. Only an unavailable platform or a lost
// answer counts as a failure; a rate limit has its own outcome, and any other error is an answer
// of the platform.
func outcomeOf(ctx context.Context, err error) budget.Outcome {
	switch {
	case err == nil:
		return budget.Answered
	case ctx.Err() != nil:
		return budget.Cancelled
	case fault.HasCode(err, fault.PlatformRateLimited):
		return budget.RateLimited
	case fault.HasCode(err, fault.PlatformUnavailable), fault.HasCode(err, fault.PlatformAnswerLost):
		return budget.Failed
	default:
		return budget.Answered
	}
}

// Store is an objectstore.Store whose calls are subject to a Gate.
type Store struct {
	store objectstore.Store
	gate  *Gate
}

// NewStore returns a store that applies the gate to every call to the given store.
func NewStore(store objectstore.Store, gate *Gate) *Store { return &Store{store: store, gate: gate} }

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (object objectstore.Object, err error) {
	err = s.gate.Do(ctx, budget.Read, func(ctx context.Context) (err error) {
		object, err = s.store.Get(ctx, key)
		return err
	})
	return object, err
}

// Put implements objectstore.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (version uint64, err error) {
	err = s.gate.Do(ctx, budget.Write, func(ctx context.Context) (err error) {
		version, err = s.store.Put(ctx, key, value, condition)
		return err
	})
	return version, err
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, condition objectstore.Condition) error {
	return s.gate.Do(ctx, budget.Write, func(ctx context.Context) error {
		return s.store.Delete(ctx, key, condition)
	})
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) (objects []objectstore.Object, err error) {
	err = s.gate.Do(ctx, budget.Read, func(ctx context.Context) (err error) {
		objects, err = s.store.List(ctx, prefix)
		return err
	})
	return objects, err
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (changes []objectstore.Change, err error) {
	err = s.gate.Do(ctx, budget.Watch, func(ctx context.Context) (err error) {
		changes, err = s.store.Watch(ctx, prefix, after)
		return err
	})
	return changes, err
}
