package claim

import (
	"slices"
	"time"
)

// writeInFlight is a write in flight.
type writeInFlight struct {
	ticket uint64
	// segment is set when a segment is written; nil means the head.
	segment *SegmentRef
	// entries, head and droppedSegments belong to a write of the head: the entries
	// it adds, the head it writes and the segments that head no longer refers to.
	entries         []Entry
	head            Head
	droppedSegments []SegmentRef
}

// nextCommitAt returns when the next commit starts, the zero time when none is queued.
func (c *Committer) nextCommitAt(now time.Time) time.Time {
	window := c.claimWindow(now)
	var earliest time.Time
	for _, p := range c.queue {
		at := p.submitted.Add(window)
		if p.Kind == Record {
			at = p.submitted.Add(c.settings.RecordWindow)
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// claimWindow returns how long a claim waits for others to share its commit:
// zero when fewer than MinBatch are expected.
func (c *Committer) claimWindow(now time.Time) time.Duration {
	if c.claimRate.expected(now, c.settings.ClaimWindow) < c.settings.MinBatch {
		return 0
	}
	return c.settings.ClaimWindow
}

// commit starts a write of the head with the entries of the queued operations
// once the next commit is due.
func (c *Committer) commit(now time.Time) {
	if len(c.queue) == 0 || now.Before(c.nextCommitAt(now)) {
		return
	}
	w := &writeInFlight{ticket: c.newTicket()}
	w.head.Segments, w.droppedSegments = c.liveSegments(now)
	if len(w.head.Segments) >= c.settings.MaxSegments {
		c.answerAllUnresolved()
		return
	}
	w.head.Open = slices.Clone(c.open)
	c.collectEntries(now, w)
	if len(w.entries) == 0 {
		return
	}
	c.inFlight = w
	c.writeHead(w)
}

// collectEntries adds the entries of queued operations to the write, at most one
// for each key and up to MaxBatchBytes.
func (c *Committer) collectEntries(now time.Time, w *writeInFlight) {
	taken := make(map[Key]bool)
	limit := len(c.open) + c.settings.MaxBatchBytes
	for _, p := range c.queue {
		if len(w.head.Open) >= limit {
			return
		}
		if taken[p.Key] || !c.needsCommit(now, p) {
			continue
		}
		taken[p.Key] = true
		entry := c.entryOf(now, p)
		w.entries = append(w.entries, entry)
		w.head.Open = entry.append(w.head.Open)
	}
}

// needsCommit reports whether the loaded state allows the operation's entry to
// be written. Other operations wait for a segment or for a new read of the head.
func (c *Committer) needsCommit(now time.Time, p *pending) bool {
	if _, void := c.index.released[p.Attempt]; void {
		return false
	}
	state, exists := c.index.find(p.Key, c.expiryCutoff(now))
	switch p.Kind {
	case Claim:
		return !exists
	case Record:
		return exists && state.attempt == p.Attempt && !state.recorded
	default:
		return !exists || state.attempt != p.Attempt || !state.recorded
	}
}

// entryOf returns the log entry of the operation. A release expires later by twice
// MaxClockDifference, so that it outlives the claim that it voids although their
// committers' clocks differ.
func (c *Committer) entryOf(now time.Time, p *pending) Entry {
	entry := Entry{
		Key:     p.Key,
		Attempt: p.Attempt,
		Hash:    p.Hash,
		Expires: now.Add(p.Retention).UnixMilli(),
	}
	switch p.Kind {
	case Claim:
		entry.Kind = EntryClaim
	case Record:
		entry.Kind = EntryOutcome
		entry.Outcome = p.Outcome
	default:
		entry.Kind = EntryRelease
		entry.Expires = now.Add(p.Retention + 2*c.settings.MaxClockDifference).UnixMilli()
	}
	return entry
}

func (c *Committer) writeHead(w *writeInFlight) {
	c.outputs = append(c.outputs, Write{
		Ticket:  w.ticket,
		Key:     c.shard.HeadKey(),
		Value:   w.head.Encode(),
		Absent:  !c.headExists,
		Version: c.headVersion,
	})
}

// liveSegments splits the segments into those to keep and the expired ones.
func (c *Committer) liveSegments(now time.Time) (live, dropped []SegmentRef) {
	cutoff := c.expiryCutoff(now)
	for _, segment := range c.segments {
		if segment.Expires < cutoff {
			dropped = append(dropped, segment)
			continue
		}
		live = append(live, segment)
	}
	return live, dropped
}

// answerAllUnresolved answers every queued operation as unresolved, because the
// head already refers to MaxSegments segments.
func (c *Committer) answerAllUnresolved() {
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		c.answer(p, ResultUnresolved)
		return true
	})
}

// seal starts to write the open entries as a segment once they reach SealBytes
// and reports whether it did.
func (c *Committer) seal(now time.Time) bool {
	if len(c.open) < c.settings.SealBytes || now.Before(c.retryAt) {
		return false
	}
	entries, err := DecodeEntries(c.open)
	if err != nil {
		return false
	}
	segment := SegmentRef{ID: SegmentID(c.random.Uint64() | 1)}
	for _, entry := range entries {
		segment.Expires = max(segment.Expires, entry.Expires)
	}
	c.inFlight = &writeInFlight{ticket: c.newTicket(), segment: &segment}
	c.orphans = append(c.orphans, orphan{segment: segment.ID, base: c.headVersion})
	c.outputs = append(c.outputs, Write{
		Ticket: c.inFlight.ticket,
		Key:    c.shard.SegmentKey(segment.ID),
		Value:  c.open,
		Absent: true,
	})
	return true
}

func (c *Committer) handleWriteDone(now time.Time, done WriteDone) {
	w := c.inFlight
	if w == nil || w.ticket != done.Ticket {
		return
	}
	c.inFlight = nil
	if w.segment != nil {
		c.segmentWritten(now, w, done)
		return
	}
	switch done.Status {
	case StatusOK:
		c.committed(now, w, done.Version)
	case StatusConflict:
		c.stale = true
	default:
		c.stale = true
		c.recordFailure(now)
	}
}

// segmentWritten starts to write a head that refers to the written segment.
// That write also removes the segment's entries from the open part.
func (c *Committer) segmentWritten(now time.Time, w *writeInFlight, done WriteDone) {
	if done.Status != StatusOK {
		c.recordFailure(now)
		return
	}
	c.resetBackoff()
	next := &writeInFlight{ticket: c.newTicket()}
	next.head.Segments, next.droppedSegments = c.liveSegments(now)
	next.head.Segments = append(next.head.Segments, *w.segment)
	if !c.stale {
		c.evaluate(now)
	}
	c.collectEntries(now, next)
	c.inFlight = next
	c.writeHead(next)
}

// committed makes the written head the loaded state.
func (c *Committer) committed(now time.Time, w *writeInFlight, version uint64) {
	c.resetBackoff()
	sealed := c.sealedBy(w)
	if sealed != openSegment {
		c.foldEncoded(c.open, sealed)
	}
	for _, entry := range w.entries {
		c.index.fold(entry, openSegment)
	}
	c.segments, c.open = w.head.Segments, w.head.Open
	c.headVersion, c.headExists = version, true
	c.deleteOrphans()
	for _, segment := range w.droppedSegments {
		c.outputs = append(c.outputs, Delete{Key: c.shard.SegmentKey(segment.ID)})
	}
	if !now.Before(c.nextSweep) {
		c.index.sweep(c.expiryCutoff(now))
		c.nextSweep = now.Add(c.settings.MaxClockDifference)
	}
}

// sealedBy returns the segment that a commit added, or openSegment for none.
func (c *Committer) sealedBy(w *writeInFlight) SegmentID {
	if len(w.head.Segments) == 0 {
		return openSegment
	}
	last := w.head.Segments[len(w.head.Segments)-1]
	if slices.Contains(c.segments, last) {
		return openSegment
	}
	return last.ID
}
