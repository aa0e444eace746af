package share

import "time"

// Peer is another counted instance with its last report.
type Peer struct {
	Instance   string
	DataCentre string
	Report     Report
	// ReceivedAt is when the report arrived.
	ReceivedAt time.Duration
	// HasReport is false until the first report of the peer's current process.
	HasReport bool
}
