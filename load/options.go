package load

import (
	"net"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Bounds of one run: MaxRate is in requests per second.
const (
	MaxRate     = 2000.0
	MaxDuration = 10 * time.Minute
)

// Options describes one run.
type Options struct {
	Addresses []string
	Key       string
	Model     string
	// Rate is the number of generations started per second.
	Rate float64
	// Duration is how long generations and calls are started.
	Duration time.Duration
	// Tokens is the length of each answer in tokens.
	Tokens int
	// CallRate is the number of calls to a plain service started per second;
	// zero sends none. Each call has its own idempotency key.
	CallRate  float64
	Service   string
	Operation string
	// Verify compares each answer with the one that the stand-in engines
	// define.
	Verify bool
	// Seed determines the prompts, the keys and the times between requests.
	Seed uint64
}

// validate returns an error for an unbounded run and for addresses outside loopback.
func (o Options) validate() error {
	if o.Rate <= 0 || o.Rate > MaxRate {
		return fault.Invalid("rate", "must be above 0 and at most 2000 a second")
	}
	if o.CallRate < 0 || o.CallRate > MaxRate {
		return fault.Invalid("call-rate", "must be at least 0 and at most 2000 a second")
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
