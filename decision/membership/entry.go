package membership

import "time"

// sendState tracks how often an item was sent since it last changed.
type sendState struct {
	// urgent is the number of sends for which the item still goes first.
	urgent int
	// lastSent is Table.itemsSent at the time of the item's last send.
	lastSent uint64
}

// memberEntry holds the state of one other instance.
type memberEntry struct {
	sendState
	record Record
	// lastUp is when the instance itself was last known to be up.
	lastUp time.Time
	// suspectedAt is when this table began to treat the instance as a suspect.
	suspectedAt time.Time
	// proven means that the instance answered a probe of this process since its last pause.
	proven bool
	// window rejects digests that were received before.
	window replayWindow
}

// noticeEntry holds a notice and its send state.
type noticeEntry struct {
	sendState
	notice Notice
}

// reportEntry holds a report and its send state.
type reportEntry struct {
	sendState
	report Report
}
