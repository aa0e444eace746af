package load

import "time"

// Report is a load report of a server.
type Report struct {
	// BootID identifies the server's process; Sequence orders the reports of one
	// process.
	BootID   string
	Sequence uint64
	// Held is the number of running and queued requests.
	Held int
	// Observed is the time at which the report was made, by the instance's clock.
	Observed time.Duration
}
