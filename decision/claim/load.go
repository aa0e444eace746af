package claim

import (
	"slices"
	"time"
)

// load is a read of the head and of the segments that are not folded yet.
type load struct {
	ticket  uint64
	head    Head
	version uint64
	exists  bool
	// missing are the segments to be read, in order.
	missing []SegmentRef
	values  map[SegmentID][]byte
	reading map[uint64]SegmentID
}

func (c *Committer) readHead() {
	c.load = &load{ticket: c.ticket(), values: make(map[SegmentID][]byte), reading: make(map[uint64]SegmentID)}
	for _, p := range c.queue {
		p.refreshed = true
	}
	c.outputs = append(c.outputs, Read{Ticket: c.load.ticket, Key: c.shard.HeadKey()})
}

func (c *Committer) readDone(now time.Time, done ReadDone) {
	if c.bodyRead(now, done) || c.load == nil {
		return
	}
	if done.Ticket == c.load.ticket {
		c.headRead(now, done)
		return
	}
	segment, ours := c.load.reading[done.Ticket]
	if !ours {
		return
	}
	delete(c.load.reading, done.Ticket)
	if done.Status != StatusOK {
		// A newer head may have dropped the segment: start again.
		c.abortLoad(now)
		return
	}
	c.load.values[segment] = done.Value
	c.continueLoad(now)
}

func (c *Committer) headRead(now time.Time, done ReadDone) {
	if done.Status == StatusFailed || done.Status == StatusConflict {
		c.abortLoad(now)
		return
	}
	c.load.exists = done.Status == StatusOK
	if c.load.exists {
		head, err := DecodeHead(done.Value)
		if err != nil {
			c.abortLoad(now)
			return
		}
		c.load.head, c.load.version = head, done.Version
	}
	for _, segment := range c.load.head.Segments {
		if !slices.Contains(c.segments, segment) {
			c.load.missing = append(c.load.missing, segment)
		}
	}
	c.continueLoad(now)
}

// continueLoad reads the next segments or finishes the load.
func (c *Committer) continueLoad(now time.Time) {
	l := c.load
	for _, segment := range l.missing {
		if len(l.reading) >= c.settings.MaxParallelReads {
			return
		}
		if l.knows(segment.ID) {
			continue
		}
		ticket := c.ticket()
		l.reading[ticket] = segment.ID
		c.outputs = append(c.outputs, Read{Ticket: ticket, Key: c.shard.SegmentKey(segment.ID)})
	}
	if len(l.reading) == 0 {
		c.finishLoad(now)
	}
}

// knows reports whether a segment is read or being read.
func (l *load) knows(segment SegmentID) bool {
	if _, read := l.values[segment]; read {
		return true
	}
	for _, reading := range l.reading {
		if reading == segment {
			return true
		}
	}
	return false
}

// finishLoad folds the segments and the open entries in the log's order.
func (c *Committer) finishLoad(now time.Time) {
	l := c.load
	for _, segment := range l.missing {
		if !c.foldEncoded(l.values[segment.ID], segment.ID) {
			c.abortLoad(now)
			return
		}
	}
	if !c.foldEncoded(l.head.Open, openSegment) {
		c.abortLoad(now)
		return
	}
	c.load = nil
	c.segments, c.open = l.head.Segments, l.head.Open
	c.version, c.exists = l.version, l.exists
	c.loaded, c.stale = true, false
	c.succeeded()
	c.deleteOrphans()
}

// foldEncoded folds encoded entries and reports whether they were readable.
func (c *Committer) foldEncoded(encoded []byte, segment SegmentID) bool {
	entries, err := DecodeEntries(encoded)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		c.index.fold(entry, segment)
	}
	return true
}

func (c *Committer) abortLoad(now time.Time) {
	c.load = nil
	c.stale = true
	c.failed(now)
}

// orphan is a segment that may not be in the head.
type orphan struct {
	segment SegmentID
	// base is the version of the head that was to be replaced. While the head
	// still has it, a delayed write may yet refer to the segment.
	base uint64
}

// deleteOrphans removes the segments that a lost race left outside the head.
func (c *Committer) deleteOrphans() {
	c.orphans = slices.DeleteFunc(c.orphans, func(o orphan) bool {
		if o.base == c.version {
			return false
		}
		referenced := slices.ContainsFunc(c.segments, func(s SegmentRef) bool { return s.ID == o.segment })
		if !referenced {
			c.outputs = append(c.outputs, Delete{Key: c.shard.SegmentKey(o.segment)})
		}
		return true
	})
}
