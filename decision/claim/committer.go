package claim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Committer holds one shard's state in one instance and commits operations.
// It is not safe for concurrent use.
type Committer struct {
	shard    Shard
	settings Settings
	random   *rand.Rand

	// loaded means that index, segments, open and version agree with one
	// version of the head.
	loaded  bool
	stale   bool
	exists  bool
	version uint64
	index   *index
	// segments are the folded segments, in order.
	segments []SegmentRef
	open     []byte

	queue  []*pending
	flight *flight
	load   *load
	bodies map[SegmentID]uint64
	// orphans are segments that may not be in the head.
	orphans []orphan

	nextTicket uint64
	failures   int
	retryAt    time.Time
	rate       arrivalRate
	nextSweep  time.Time
	outputs    []Output
}

// New returns a Committer that knows nothing of the shard yet.
func New(shard Shard, settings Settings, random *rand.Rand) *Committer {
	return &Committer{
		shard:    shard,
		settings: settings,
		random:   random,
		stale:    true,
		index:    newIndex(),
		bodies:   make(map[SegmentID]uint64),
	}
}

// Step takes one input at the given time and returns what to do. Reads,
// writes and answers keep their order.
func (c *Committer) Step(now time.Time, input Input) []Output {
	c.outputs = nil
	switch input := input.(type) {
	case Submit:
		c.submit(now, input.Operation)
	case ReadDone:
		c.readDone(now, input)
	case WriteDone:
		c.writeDone(now, input)
	case Tick:
	}
	c.advance(now)
	return c.outputs
}

// Keys returns the number of keys that are remembered.
func (c *Committer) KeyCount() int { return len(c.index.records) }

// Waiting returns the number of operations without an answer.
func (c *Committer) Waiting() int { return len(c.queue) }

func (c *Committer) submit(now time.Time, operation Operation) {
	operation.Outcome = operation.Outcome.Bounded()
	if operation.Kind == Claim {
		c.rate.arrived(now)
	}
	c.queue = append(c.queue, &pending{Operation: operation, submitted: now})
}

// advance answers what can be answered and starts the next read or write.
func (c *Committer) advance(now time.Time) {
	c.expire(now)
	if c.flight == nil && c.load == nil {
		c.proceed(now)
	}
	c.wake(now)
}

// proceed runs while no write and no read of the head is under way.
func (c *Committer) proceed(now time.Time) {
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

// expire answers the operations whose time is over. Their entries may be in a
// write that is under way; only the claimant can void them.
func (c *Committer) expire(now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		over := !now.Before(p.deadline())
		if over {
			c.answer(p, ResultUnresolved)
		}
		return over
	})
}

func (c *Committer) answer(p *pending, verdict Result) {
	c.outputs = append(c.outputs, Answer{ID: p.ID, Result: verdict})
}

// failed notes a failed read or write and gives up the waiting operations
// when the platform seems to be away.
func (c *Committer) failed(now time.Time) {
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

// maxBackoffShift keeps the backoff's shift in range.
const maxBackoffShift = 16

func (c *Committer) succeeded() {
	c.failures = 0
	c.retryAt = time.Time{}
}

// wake asks for the next tick.
func (c *Committer) wake(now time.Time) {
	var at time.Time
	earliest := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, p := range c.queue {
		earliest(p.deadline())
	}
	if len(c.queue) > 0 && c.flight == nil && c.load == nil {
		earliest(c.retryAt)
		earliest(c.due(now))
	}
	if !at.IsZero() {
		c.outputs = append(c.outputs, Wake{At: at})
	}
}

func (c *Committer) ticket() uint64 {
	c.nextTicket++
	return c.nextTicket
}

// forgetBefore returns the expiry below which entries are forgotten.
func (c *Committer) forgetBefore(now time.Time) int64 {
	return now.Add(-c.settings.MaxClockDifference).UnixMilli()
}
