package claim

// openSegment stands for the head's open part in place of a segment.
const openSegment SegmentID = 0

// keyState is the state of one key.
type keyState struct {
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
	keyStates map[Key]keyState
	// released maps each void attempt to its expiry in Unix milliseconds.
	released map[AttemptID]int64
	// openOutcomes holds the outcomes that are in no segment yet.
	openOutcomes map[Key]Outcome
}

func newIndex() *index {
	return &index{
		keyStates:    make(map[Key]keyState),
		released:     make(map[AttemptID]int64),
		openOutcomes: make(map[Key]Outcome),
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
		if x.keyStates[entry.Key].attempt == entry.Attempt {
			delete(x.keyStates, entry.Key)
		}
	}
}

func (x *index) foldClaim(entry Entry, segment SegmentID) {
	current, exists := x.keyStates[entry.Key]
	if exists && current.attempt == entry.Attempt {
		return
	}
	x.keyStates[entry.Key] = keyState{attempt: entry.Attempt, hash: entry.Hash, expires: entry.Expires, segment: segment}
}

func (x *index) foldOutcome(entry Entry, segment SegmentID) {
	x.keyStates[entry.Key] = keyState{attempt: entry.Attempt, hash: entry.Hash, expires: entry.Expires, segment: segment, recorded: true}
	if segment == openSegment {
		x.openOutcomes[entry.Key] = entry.Outcome
		return
	}
	delete(x.openOutcomes, entry.Key)
}

// find returns the state of a key unless it expired before expiryCutoff.
func (x *index) find(key Key, expiryCutoff int64) (keyState, bool) {
	state, exists := x.keyStates[key]
	if !exists || state.expires < expiryCutoff {
		return keyState{}, false
	}
	return state, true
}

// sweep removes keys and void attempts that expired before expiryCutoff.
func (x *index) sweep(expiryCutoff int64) {
	for key, state := range x.keyStates {
		if state.expires < expiryCutoff {
			delete(x.keyStates, key)
			delete(x.openOutcomes, key)
		}
	}
	for attempt, expires := range x.released {
		if expires < expiryCutoff {
			delete(x.released, attempt)
		}
	}
}
