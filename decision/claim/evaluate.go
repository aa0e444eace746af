package claim

import (
	"slices"
	"time"
)

// evaluate answers the operations whose result follows from the loaded state.
// The others need a commit or a new read of the head.
func (c *Committer) evaluate(now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		return c.decide(now, p)
	})
}

// decide answers one operation if it can and reports whether it did.
func (c *Committer) decide(now time.Time, p *pending) bool {
	if _, void := c.index.released[p.Attempt]; void {
		c.answer(p, resultOfReleased(p.Kind))
		return true
	}
	state, exists := c.index.find(p.Key, c.expiryCutoff(now))
	switch p.Kind {
	case Claim:
		return c.decideClaim(p, state, exists)
	case Record:
		return c.decideRecord(p, state, exists)
	default:
		return c.decideRelease(p, state, exists)
	}
}

// resultOfReleased returns the answer to an operation of a released attempt.
func resultOfReleased(kind OperationKind) Result {
	if kind == Release {
		return ResultReleased
	}
	return ResultRejected
}

func (c *Committer) decideClaim(p *pending, state keyState, exists bool) bool {
	switch {
	case !exists:
		return false
	case state.attempt == p.Attempt:
		c.answer(p, ResultClaimed)
	case state.hash != p.Hash && (state.recorded || p.refreshed):
		c.answer(p, ResultReused)
	case state.recorded:
		return c.replay(p, state)
	case p.refreshed:
		c.answer(p, ResultInDoubt)
	default:
		// Another committer may have recorded the outcome in the meantime.
		c.stale = true
		return false
	}
	return true
}

func (c *Committer) decideRecord(p *pending, state keyState, exists bool) bool {
	if !exists || state.attempt != p.Attempt {
		if !p.refreshed {
			c.stale = true
			return false
		}
		c.answer(p, ResultRejected)
		return true
	}
	if state.recorded {
		c.answer(p, ResultRecorded)
	}
	return state.recorded
}

func (c *Committer) decideRelease(p *pending, state keyState, exists bool) bool {
	if exists && state.attempt == p.Attempt && state.recorded {
		c.answer(p, ResultRejected)
		return true
	}
	return false
}

// replay answers with the recorded outcome and reports whether it did. An
// outcome in a segment is read first.
func (c *Committer) replay(p *pending, state keyState) bool {
	if state.segment == openSegment {
		c.outputs = append(c.outputs, Answer{ID: p.ID, Result: ResultOutcome, Outcome: c.index.openOutcomes[p.Key]})
		return true
	}
	if _, inFlight := c.bodyReads[state.segment]; !inFlight {
		ticket := c.newTicket()
		c.bodyReads[state.segment] = ticket
		c.outputs = append(c.outputs, Read{Ticket: ticket, Key: c.shard.SegmentKey(state.segment)})
	}
	return false
}

// handleBodyRead answers the repeated claims whose outcome is in the segment read and
// reports whether the ticket belongs to a read of outcomes.
func (c *Committer) handleBodyRead(now time.Time, done ReadDone) bool {
	segment, found := c.segmentOfBodyRead(done.Ticket)
	if !found {
		return false
	}
	delete(c.bodyReads, segment)
	outcomes := outcomesOf(done)
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		state, exists := c.index.find(p.Key, c.expiryCutoff(now))
		if p.Kind != Claim || !exists || !state.recorded || state.segment != segment || state.attempt == p.Attempt {
			return false
		}
		outcome, ok := outcomes[p.Key]
		if !ok {
			// The outcome exists but can't be read.
			c.answer(p, ResultInDoubt)
			return true
		}
		c.outputs = append(c.outputs, Answer{ID: p.ID, Result: ResultOutcome, Outcome: outcome})
		return true
	})
	return true
}

func (c *Committer) segmentOfBodyRead(ticket uint64) (SegmentID, bool) {
	for segment, current := range c.bodyReads {
		if current == ticket {
			return segment, true
		}
	}
	return 0, false
}

// outcomesOf returns the outcomes in a segment read; empty when it is unreadable.
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
