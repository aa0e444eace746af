package load

import "time"

// Report is a load report of a server.
type Report struct {
	// BootID and Sequence order reports; a new boot starts a new sequence.
	BootID   string
	Sequence uint64
	// Requests is the number of running and queued requests.
	Requests int
	// Observed is the time at which the report was made, by the instance's clock.
	Observed time.Duration
}
