package membership

import "time"

// spread tracks how often an item was sent since it changed.
type spread struct {
	// urgent is the number of sends for which it still goes first.
	urgent int
	// lastSent is the table's send counter when it last went out.
	lastSent uint64
}

// memberEntry is the state of one other instance.
type memberEntry struct {
	spread
	record Record
	// heard is when the instance itself was last known to be up.
	heard time.Time
	// suspectedAt is when this table first held it for a suspect.
	suspectedAt time.Time
	// proven means that the instance answered a probe of this process.
	proven bool
	// window refuses digests that were received before.
	window replayWindow
}

// noticeEntry is the state of one notice.
type noticeEntry struct {
	spread
	notice Notice
}

// reportEntry is the state of one report.
type reportEntry struct {
	spread
	report Report
}
