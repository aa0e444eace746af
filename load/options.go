package load

import (
	"net"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Bounds of one run.
const (
	MaxRate     = 2000.0
	MaxDuration = 10 * time.Minute
)

// Options describe one run.
type Options struct {
	Addresses []string
	Key       string
	Model     string
	// Rate is the generations started in a second.
	Rate float64
	// Duration is how long generations are started.
	Duration time.Duration
	// Tokens is the length of each answer.
	Tokens int
	// Seed fixes the prompts and the times between requests.
	Seed uint64
}

// check refuses an unbounded run and addresses outside loopback.
func (o Options) check() error {
	if o.Rate <= 0 || o.Rate > MaxRate {
		return fault.Invalid("rate", "must be above 0 and at most 2000 a second")
	}
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return fault.Invalid("duration", "must be above 0 and at most 10m")
	}
	if len(o.Addresses) == 0 {
		return fault.Invalid("address", "is required")
	}
	for _, address := range o.Addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return fault.Invalid("address", address+" is not a loopback ip:port")
		}
	}
	return nil
}
