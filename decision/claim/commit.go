package claim

import (
	"slices"
	"time"
)

// flight is a write that is under way.
type flight struct {
	ticket uint64
	// segment is set while a segment is written; otherwise it is the head.
	segment *SegmentRef
	entries []Entry
	next    Head
	dropped []SegmentRef
}

// due returns when the next commit must be started.
func (c *Committer) due(now time.Time) time.Time {
	window := c.claimWindow(now)
	var due time.Time
	for _, p := range c.queue {
		at := p.submitted.Add(window)
		if p.Kind == Record {
			at = p.submitted.Add(c.settings.RecordWindow)
		}
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due
}

// claimWindow returns how long a claim waits for others: not at all when few
// are expected.
func (c *Committer) claimWindow(now time.Time) time.Duration {
	if c.rate.expected(now, c.settings.ClaimWindow) < c.settings.MinBatch {
		return 0
	}
	return c.settings.ClaimWindow
}

// commit writes the head with the entries of the waiting operations.
func (c *Committer) commit(now time.Time) {
	if len(c.queue) == 0 || now.Before(c.due(now)) {
		return
	}
	f := &flight{ticket: c.ticket()}
	f.next.Segments, f.dropped = c.liveSegments(now)
	if len(f.next.Segments) >= c.settings.MaxSegments {
		c.expireClaims()
		return
	}
	f.next.Open = slices.Clone(c.open)
	c.gather(now, f)
	if len(f.entries) == 0 {
		return
	}
	c.flight = f
	c.writeHead(f)
}

// gather adds one entry for each waiting operation, one a key, up to the size
// of a batch.
func (c *Committer) gather(now time.Time, f *flight) {
	taken := make(map[Key]bool)
	limit := len(c.open) + c.settings.MaxBatchBytes
	for _, p := range c.queue {
		if len(f.next.Open) >= limit {
			return
		}
		if taken[p.Key] || !c.needsCommit(now, p) {
			continue
		}
		taken[p.Key] = true
		entry := c.entryOf(now, p)
		f.entries = append(f.entries, entry)
		f.next.Open = entry.append(f.next.Open)
	}
}

// needsCommit reports whether the known state lets the operation be written.
// The other ones wait for a segment or for a fresh read of the head.
func (c *Committer) needsCommit(now time.Time, p *pending) bool {
	if _, void := c.index.released[p.Attempt]; void {
		return false
	}
	known, exists := c.index.find(p.Key, c.forgetBefore(now))
	switch p.Kind {
	case Claim:
		return !exists
	case Record:
		return exists && known.attempt == p.Attempt && !known.recorded
	default:
		return !exists || known.attempt != p.Attempt || !known.recorded
	}
}

// entryOf returns the log entry of the operation. A release outlives the claim
// that it voids, whichever clocks their committers have.
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

func (c *Committer) writeHead(f *flight) {
	c.outputs = append(c.outputs, Write{
		Ticket:  f.ticket,
		Key:     c.shard.HeadKey(),
		Value:   f.next.Encode(),
		Absent:  !c.exists,
		Version: c.version,
	})
}

// liveSegments splits the segments into those to keep and the forgotten ones.
func (c *Committer) liveSegments(now time.Time) (live, dropped []SegmentRef) {
	before := c.forgetBefore(now)
	for _, segment := range c.segments {
		if segment.Expires < before {
			dropped = append(dropped, segment)
			continue
		}
		live = append(live, segment)
	}
	return live, dropped
}

// expireClaims refuses claims while the head has no room.
func (c *Committer) expireClaims() {
	c.queue = slices.DeleteFunc(c.queue, func(p *pending) bool {
		c.answer(p, ResultUnresolved)
		return true
	})
}

// seal writes the open entries as a segment once they are large enough and
// reports whether it started to.
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
	c.flight = &flight{ticket: c.ticket(), segment: &segment}
	c.orphans = append(c.orphans, orphan{segment: segment.ID, base: c.version})
	c.outputs = append(c.outputs, Write{
		Ticket: c.flight.ticket,
		Key:    c.shard.SegmentKey(segment.ID),
		Value:  c.open,
		Absent: true,
	})
	return true
}

func (c *Committer) writeDone(now time.Time, done WriteDone) {
	f := c.flight
	if f == nil || f.ticket != done.Ticket {
		return
	}
	c.flight = nil
	if f.segment != nil {
		c.segmentWritten(now, f, done)
		return
	}
	switch done.Status {
	case StatusOK:
		c.committed(now, f, done.Version)
	case StatusConflict:
		c.stale = true
	default:
		c.stale = true
		c.failed(now)
	}
}

// segmentWritten puts the reference of a written segment in the next head;
// the entries leave the open part with that commit.
func (c *Committer) segmentWritten(now time.Time, f *flight, done WriteDone) {
	if done.Status != StatusOK {
		c.failed(now)
		return
	}
	c.succeeded()
	next := &flight{ticket: c.ticket()}
	next.next.Segments, next.dropped = c.liveSegments(now)
	next.next.Segments = append(next.next.Segments, *f.segment)
	if !c.stale {
		c.evaluate(now)
	}
	c.gather(now, next)
	c.flight = next
	c.writeHead(next)
}

// committed takes over the state that was written.
func (c *Committer) committed(now time.Time, f *flight, version uint64) {
	c.succeeded()
	sealed := c.sealedBy(f)
	if sealed != openSegment {
		c.foldEncoded(c.open, sealed)
	}
	for _, entry := range f.entries {
		c.index.fold(entry, openSegment)
	}
	c.segments, c.open = f.next.Segments, f.next.Open
	c.version, c.exists = version, true
	c.deleteOrphans()
	for _, segment := range f.dropped {
		c.outputs = append(c.outputs, Delete{Key: c.shard.SegmentKey(segment.ID)})
	}
	if !now.Before(c.nextSweep) {
		c.index.sweep(c.forgetBefore(now))
		c.nextSweep = now.Add(c.settings.MaxClockDifference)
	}
}

// sealedBy returns the segment that a commit added, openSegment for none.
func (c *Committer) sealedBy(f *flight) SegmentID {
	if len(f.next.Segments) == 0 {
		return openSegment
	}
	last := f.next.Segments[len(f.next.Segments)-1]
	if slices.Contains(c.segments, last) {
		return openSegment
	}
	return last.ID
}
