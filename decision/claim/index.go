package claim

// openSegment stands for the head's open part in place of a segment.
const openSegment SegmentID = 0

// record is the state of one key.
type record struct {
	attempt AttemptID
	hash    BodyHash
	// expires is in Unix milliseconds.
	expires int64
	// segment holds the outcome; openSegment while it is in the open part.
	segment  SegmentID
	recorded bool
}

// index is the state of every key of a shard, folded from its log. Folding a
// suffix of the log again yields the same state.
type index struct {
	records map[Key]record
	// released maps each void attempt to its expiry in Unix milliseconds.
	released map[AttemptID]int64
	// open holds the outcomes that are in no segment yet.
	open map[Key]Outcome
}

func newIndex() *index {
	return &index{
		records:  make(map[Key]record),
		released: make(map[AttemptID]int64),
		open:     make(map[Key]Outcome),
	}
}

// fold applies one entry of the segment.
func (x *index) fold(entry Entry, segment SegmentID) {
	switch entry.Kind {
	case EntryClaim:
		x.foldClaim(entry, segment)
	case EntryOutcome:
		x.foldOutcome(entry, segment)
	case EntryRelease:
		x.released[entry.Attempt] = entry.Expires
		if x.records[entry.Key].attempt == entry.Attempt {
			delete(x.records, entry.Key)
		}
	}
}

func (x *index) foldClaim(entry Entry, segment SegmentID) {
	known, exists := x.records[entry.Key]
	if exists && known.attempt == entry.Attempt {
		return
	}
	x.records[entry.Key] = record{attempt: entry.Attempt, hash: entry.Hash, expires: entry.Expires, segment: segment}
}

func (x *index) foldOutcome(entry Entry, segment SegmentID) {
	x.records[entry.Key] = record{attempt: entry.Attempt, hash: entry.Hash, expires: entry.Expires, segment: segment, recorded: true}
	if segment == openSegment {
		x.open[entry.Key] = entry.Outcome
		return
	}
	delete(x.open, entry.Key)
}

// find returns the state of a key unless it expired before forgetBefore.
func (x *index) find(key Key, forgetBefore int64) (record, bool) {
	known, exists := x.records[key]
	if !exists || known.expires < forgetBefore {
		return record{}, false
	}
	return known, true
}

// sweep removes keys and void attempts that expired before forgetBefore.
func (x *index) sweep(forgetBefore int64) {
	for key, known := range x.records {
		if known.expires < forgetBefore {
			delete(x.records, key)
			delete(x.open, key)
		}
	}
	for attempt, expires := range x.released {
		if expires < forgetBefore {
			delete(x.released, attempt)
		}
	}
}
