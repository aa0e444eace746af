package lease

import "time"

// Record is the value of the lease object.
type Record struct {
	Holder string `json:"holder"`
	// Nonce numbers the writes of one holder, so that it recognizes its own
	// write whose answer was lost.
	Nonce    uint64        `json:"nonce"`
	Duration time.Duration `json:"duration_ns"`
	// Released lets the next candidate take over at once.
	Released bool `json:"released,omitempty"`
}
