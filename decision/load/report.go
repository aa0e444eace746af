package load

import "time"

// Report is what a server said about its load.
type Report struct {
	// BootID and Sequence order reports; a new boot starts a new sequence.
	BootID   string
	Sequence uint64
	// Held is the number of running and queued requests.
	Requests int
	// Observed is when the report was true, by the instance's clock.
	Observed time.Duration
}
