package streamversion

import "time"

const (
	// Lifetime is the minimum time for which a record is kept unless memory is short. A stream that
	// runs for longer is recorded again.
	Lifetime = time.Minute
	// maxRecords is the maximum number of records of one generation.
	maxRecords = 1 << 15
)

// Table holds records in two generations: when the current one is as old as Lifetime or full, it
// replaces the previous one. It is not safe for concurrent use.
type Table struct {
	current  map[Key]Origin
	previous map[Key]Origin
	begun    time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{current: make(map[Key]Origin), previous: make(map[Key]Origin)}
}

// Put adds a record, or keeps a known one for longer. The origin of a known stream never changes.
// It reports whether the record is new.
func (t *Table) Put(now time.Time, record Record) bool {
	if now.Sub(t.begun) >= Lifetime || len(t.current) >= maxRecords {
		t.previous, t.current, t.begun = t.current, make(map[Key]Origin), now
	}
	if _, known := t.current[record.Key]; known {
		return false
	}
	before, known := t.previous[record.Key]
	if known {
		record.Origin = before
	}
	t.current[record.Key] = record.Origin
	return !known
}

// Origin returns where a stream began, and whether that is known.
func (t *Table) Origin(key Key) (Origin, bool) {
	if origin, known := t.current[key]; known {
		return origin, true
	}
	origin, known := t.previous[key]
	return origin, known
}
