package membership

import "time"

// spread tracks how often an item was sent since it last changed.
type spread struct {
	// urgent is the number of sends for which the item still goes first.
	urgent int
	// lastSent is Table.sends at the time of the item's last send.
	lastSent uint64
}

// memberEntry holds the state of one other instance.
type memberEntry struct {
	spread
	record Record
	// heard is when the instance itself was last known to be up.
	heard time.Time
	// suspectedAt is when this table began to treat the instance as a suspect.
	suspectedAt time.Time
	// proven means that the instance answered a probe of this process since its last pause.
	proven bool
	// window rejects digests that were received before.
	window replayWindow
}

// noticeEntry holds a notice and its send state.
type noticeEntry struct {
	spread
	notice Notice
}

// reportEntry holds a report and its send state.
type reportEntry struct {
	spread
	report Report
}
