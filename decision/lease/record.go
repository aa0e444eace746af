package lease

import "time"

// Record is the value of the lease object.
type Record struct {
	Holder string `json:"holder"`
	// Nonce numbers the writes of one holder, so that it recognizes its own
	// write although it got no answer.
	Nonce    uint64        `json:"nonce"`
	Duration time.Duration `json:"duration_ns"`
	// Released means that the next candidate may take over at once.
	Released bool `json:"released,omitempty"`
}
