package claim

// openSegment is the place of entries that are in no segment yet.
const openSegment SegmentID = 0

// record is the state of one key.
type record struct {
	attempt AttemptID
	hash    BodyHash
	expires int64
	// segment holds the outcome's body; openSegment while it is open.
	segment  SegmentID
	recorded bool
}

// index is the state of every key of a shard, folded from its log. Folding a
// suffix of the log again leaves the same state.
type index struct {
	records map[Key]record
	// released holds the void attempts with their expiry.
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

// fold applies one entry found in the segment.
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

// find returns the record of a key unless it is forgotten at the given time.
func (x *index) find(key Key, forgetBefore int64) (record, bool) {
	known, exists := x.records[key]
	if !exists || known.expires < forgetBefore {
		return record{}, false
	}
	return known, true
}

// sweep removes what is forgotten at the given time.
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
