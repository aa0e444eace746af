package claim

import (
	"slices"
	"time"
)

// evaluate answers the operations that the known state decides. The others
// need a commit or a fresh read of the head.
func (c *Committer) evaluate(now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		return c.decide(now, p)
	})
}

// decide answers one operation if it can and reports whether it did.
func (c *Committer) decide(now time.Time, p *pending) bool {
	if _, void := c.index.released[p.Attempt]; void {
		c.answer(p, voidVerdict(p.Kind))
		return true
	}
	known, exists := c.index.find(p.Key, c.forgetBefore(now))
	switch p.Kind {
	case Claim:
		return c.decideClaim(p, known, exists)
	case Record:
		return c.decideRecord(p, known, exists)
	default:
		return c.decideRelease(p, known, exists)
	}
}

// voidVerdict is the answer to an operation of a released attempt.
func voidVerdict(kind OperationKind) Result {
	if kind == Release {
		return ResultReleased
	}
	return ResultRejected
}

func (c *Committer) decideClaim(p *pending, known record, exists bool) bool {
	switch {
	case !exists:
		return false
	case known.attempt == p.Attempt:
		c.answer(p, ResultClaimed)
	case known.hash != p.Hash && (known.recorded || p.refreshed):
		c.answer(p, ResultReused)
	case known.recorded:
		return c.replay(p, known)
	case p.refreshed:
		c.answer(p, ResultInDoubt)
	default:
		// Another committer may have recorded the outcome since.
		c.stale = true
		return false
	}
	return true
}

func (c *Committer) decideRecord(p *pending, known record, exists bool) bool {
	if !exists || known.attempt != p.Attempt {
		if !p.refreshed {
			c.stale = true
			return false
		}
		c.answer(p, ResultRejected)
		return true
	}
	if known.recorded {
		c.answer(p, ResultRecorded)
	}
	return known.recorded
}

func (c *Committer) decideRelease(p *pending, known record, exists bool) bool {
	if exists && known.attempt == p.Attempt && known.recorded {
		c.answer(p, ResultRejected)
		return true
	}
	return false
}

// replay answers with the recorded outcome, reading its segment if need be.
func (c *Committer) replay(p *pending, known record) bool {
	if known.segment == openSegment {
		c.outputs = append(c.outputs, Answer{ID: p.ID, Result: ResultOutcome, Outcome: c.index.open[p.Key]})
		return true
	}
	if _, reading := c.bodies[known.segment]; !reading {
		ticket := c.ticket()
		c.bodies[known.segment] = ticket
		c.outputs = append(c.outputs, Read{Ticket: ticket, Key: c.shard.SegmentKey(known.segment)})
	}
	return false
}

// bodyRead answers the repeats whose outcome is in the segment and reports
// whether the ticket was such a read.
func (c *Committer) bodyRead(now time.Time, done ReadDone) bool {
	segment, found := c.bodyTicket(done.Ticket)
	if !found {
		return false
	}
	delete(c.bodies, segment)
	outcomes := outcomesOf(done)
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		known, exists := c.index.find(p.Key, c.forgetBefore(now))
		if p.Kind != Claim || !exists || !known.recorded || known.segment != segment || known.attempt == p.Attempt {
			return false
		}
		outcome, ok := outcomes[p.Key]
		if !ok {
			// The outcome is known to exist and can't be read.
			c.answer(p, ResultInDoubt)
			return true
		}
		c.outputs = append(c.outputs, Answer{ID: p.ID, Result: ResultOutcome, Outcome: outcome})
		return true
	})
	return true
}

func (c *Committer) bodyTicket(ticket uint64) (SegmentID, bool) {
	for segment, waiting := range c.bodies {
		if waiting == ticket {
			return segment, true
		}
	}
	return 0, false
}

// outcomesOf returns the outcomes of a segment that was read.
func outcomesOf(done ReadDone) map[Key]Outcome {
	outcomes := make(map[Key]Outcome)
	if done.Status != StatusOK {
		return outcomes
	}
	entries, err := DecodeEntries(done.Value)
	if err != nil {
		return outcomes
	}
	for _, entry := range entries {
		if entry.Kind == EntryOutcome {
			outcomes[entry.Key] = entry.Outcome
		}
	}
	return outcomes
}
