package engine

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// idleStepInterval is the time between batch steps when nothing runs.
const idleStepInterval = time.Millisecond

// batch holds the running streams and those that wait for a slot.
type batch struct {
	active []*stream
	queued []*stream
}

// runBatch runs batch steps, each of at most one token for each active stream.
func (e *Engine) runBatch(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			timer.Reset(e.step(now))
		}
	}
}

// step runs one batch step and returns the time until the next one.
func (e *Engine) step(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused || !e.running {
		return idleStepInterval
	}
	e.fillBatch(now)
	if len(e.batch.active) == 0 {
		return idleStepInterval
	}
	e.batch.active = slices.DeleteFunc(e.batch.active, func(s *stream) bool {
		return e.advance(s, now)
	})
	e.dropExpired(now)
	return e.tokenTime(len(e.batch.active))
}

// advance produces a token unless the stream is still in its prefill. It reports
// whether the stream leaves the batch.
func (e *Engine) advance(s *stream, now time.Time) bool {
	if now.Before(s.prefillEnd) {
		return false
	}
	before := s.snapshotFrom(0).total
	complete := s.produce()
	e.counters.ComputedTokens += s.snapshotFrom(0).total - before
	return complete || s.snapshotFrom(0).cancelled
}

// fillBatch moves queued streams into free slots by priority, then by arrival.
func (e *Engine) fillBatch(now time.Time) {
	slices.SortStableFunc(e.batch.queued, func(a, b *stream) int {
		if order := cmp.Compare(b.request.Priority, a.request.Priority); order != 0 {
			return order
		}
		return cmp.Compare(a.arrivalNumber, b.arrivalNumber)
	})
	for len(e.batch.queued) > 0 && len(e.batch.active) < e.settings.Slots {
		next := e.batch.queued[0]
		e.batch.queued = e.batch.queued[1:]
		e.startPrefill(next, now)
		e.batch.active = append(e.batch.active, next)
	}
}

// startPrefill computes the prefill's end from the uncached prompt and the prefix.
func (e *Engine) startPrefill(s *stream, now time.Time) {
	prompt := len(s.request.Prompt)
	cached := e.cache.Use(s.request.Prompt)
	uncached := (prompt-cached)/bytesPerToken + len(s.request.Prefix)
	e.counters.PromptTokens += prompt / bytesPerToken
	e.counters.CachedTokens += cached / bytesPerToken
	s.prefillEnd = now.Add(time.Duration(uncached) * e.settings.PrefillTimePerToken)
}

// dropExpired cancels and removes streams without a reader for too long.
func (e *Engine) dropExpired(now time.Time) {
	for id, s := range e.streams {
		if s.expired(now, e.settings.StreamRetention) {
			s.cancel()
			delete(e.streams, id)
		}
	}
}
