package share

import "time"

// Peer is another live instance with its last report.
type Peer struct {
	Instance   string
	DataCentre string
	Report     Report
	// HeardAt is when the report arrived.
	ReceivedAt time.Duration
	// Heard is false until the first report of the peer's present run.
	HasReport bool
}
