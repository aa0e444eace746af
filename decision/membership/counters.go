package membership

// Counters count what the table did and refused.
type Counters struct {
	Probes           uint64 `json:"probes"`
	Replies          uint64 `json:"replies"`
	Updates          uint64 `json:"news"`
	BytesSent        uint64 `json:"bytes_sent"`
	BytesReceived    uint64 `json:"bytes_received"`
	ProbesTimedOut   uint64 `json:"probes_timed_out"`
	Misdirected      uint64 `json:"misdirected"`
	Replayed         uint64 `json:"replayed"`
	Unproven         uint64 `json:"unproven"`
	StaleSender      uint64 `json:"stale_sender"`
	StaleRecords     uint64 `json:"stale_records"`
	OldRecords       uint64 `json:"old_records"`
	InvalidItems     uint64 `json:"invalid_items"`
	NoticesDropped   uint64 `json:"notices_dropped"`
	UpdatesPostponed uint64 `json:"news_postponed"`
	Refutations      uint64 `json:"refutations"`
	Pauses           uint64 `json:"pauses"`
	ForeignDropped   uint64 `json:"foreign_dropped"`
	RecordsReplaced  uint64 `json:"records_replaced"`
}
