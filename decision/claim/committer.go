package claim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Committer holds one shard's state in one instance and commits operations to it.
// It is not safe for concurrent use.
type Committer struct {
	shard    Shard
	settings Settings
	random   *rand.Rand

	// loaded means that index, segments, open and headVersion agree with one
	// version of the head. stale means that a newer version may exist.
	// headExists means that the object exists.
	loaded      bool
	stale       bool
	headExists  bool
	headVersion uint64
	index       *index
	// segments are the segments folded into index, in order.
	segments []SegmentRef
	// open holds the encoded entries of the head that are in no segment yet.
	open []byte

	queue    []*pending
	inFlight *writeInFlight
	load     *load
	// bodyReads holds the ticket of the running read of a segment's outcomes.
	bodyReads map[SegmentID]uint64
	// orphans are written segments that the head may not refer to.
	orphans []orphan

	nextTicket uint64
	failures   int
	retryAt    time.Time
	claimRate  arrivalRate
	nextSweep  time.Time
	outputs    []Output
}

// New returns a Committer that has not loaded the shard yet.
func New(shard Shard, settings Settings, random *rand.Rand) *Committer {
	return &Committer{
		shard:     shard,
		settings:  settings,
		random:    random,
		stale:     true,
		index:     newIndex(),
		bodyReads: make(map[SegmentID]uint64),
	}
}

// Step processes one input at the given time and returns the outputs to carry
// out. Reads, writes and answers keep their order.
func (c *Committer) Step(now time.Time, input Input) []Output {
	c.outputs = nil
	switch input := input.(type) {
	case Submit:
		c.submit(now, input.Operation)
	case ReadDone:
		c.handleReadDone(now, input)
	case WriteDone:
		c.handleWriteDone(now, input)
	case Tick:
	}
	c.advance(now)
	return c.outputs
}

// KeyCount returns the number of keys with a state.
func (c *Committer) KeyCount() int { return len(c.index.keyStates) }

// Waiting returns the number of operations that are not answered yet.
func (c *Committer) Waiting() int { return len(c.queue) }

func (c *Committer) submit(now time.Time, operation Operation) {
	operation.Outcome = operation.Outcome.Bounded()
	if operation.Kind == Claim {
		c.claimRate.record(now)
	}
	c.queue = append(c.queue, &pending{Operation: operation, submitted: now})
}

// advance answers the operations that can be answered, starts the next read or
// write and requests the next tick.
func (c *Committer) advance(now time.Time) {
	c.answerExpired(now)
	if c.inFlight == nil && c.load == nil {
		c.startNext(now)
	}
	c.requestTick(now)
}

// startNext starts the next read or write. No write and no read of the head may be
// in flight.
func (c *Committer) startNext(now time.Time) {
	if len(c.queue) == 0 && c.loaded {
		c.seal(now)
		return
	}
	if c.loaded && !c.stale {
		c.evaluate(now)
	}
	if now.Before(c.retryAt) || len(c.queue) == 0 {
		return
	}
	if c.stale || !c.loaded {
		c.readHead()
		return
	}
	if c.seal(now) {
		return
	}
	c.commit(now)
}

// answerExpired answers the operations past their deadline as unresolved. Their
// entries may be part of a write in flight; only the claimant can void them.
func (c *Committer) answerExpired(now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		expired := !now.Before(p.deadline())
		if expired {
			c.answer(p, ResultUnresolved)
		}
		return expired
	})
}

func (c *Committer) answer(p *pending, result Result) {
	c.outputs = append(c.outputs, Answer{ID: p.ID, Result: result})
}

// recordFailure counts a failed read or write and sets the backoff. After
// FailFastAfter failures in a row the platform counts as unavailable, and queued
// claims are answered as unresolved.
func (c *Committer) recordFailure(now time.Time) {
	c.failures++
	limit := c.settings.BackoffBase << min(c.failures-1, maxBackoffShift)
	limit = min(limit, c.settings.BackoffLimit)
	c.retryAt = now.Add(time.Duration(c.random.Int64N(int64(limit))) + 1)
	if c.failures < c.settings.FailFastAfter {
		return
	}
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		if p.Kind == Claim {
			c.answer(p, ResultUnresolved)
		}
		return p.Kind == Claim
	})
}

// maxBackoffShift bounds the doublings, so that the shift does not overflow.
const maxBackoffShift = 16

func (c *Committer) resetBackoff() {
	c.failures = 0
	c.retryAt = time.Time{}
}

// requestTick requests a tick at the next deadline, retry or commit.
func (c *Committer) requestTick(now time.Time) {
	var at time.Time
	earliest := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, p := range c.queue {
		earliest(p.deadline())
	}
	if len(c.queue) > 0 && c.inFlight == nil && c.load == nil {
		earliest(c.retryAt)
		earliest(c.nextCommitAt(now))
	}
	if !at.IsZero() {
		c.outputs = append(c.outputs, Wake{At: at})
	}
}

func (c *Committer) newTicket() uint64 {
	c.nextTicket++
	return c.nextTicket
}

// expiryCutoff returns the expiry, in Unix milliseconds, below which entries are
// removed.
func (c *Committer) expiryCutoff(now time.Time) int64 {
	return now.Add(-c.settings.MaxClockDifference).UnixMilli()
}
