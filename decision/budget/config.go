package budget

import "time"

// Default values of the Config fields.
const (
	DefaultReadsPerSecond   = 20.0
	DefaultWritesPerSecond  = 20.0
	DefaultBurstSeconds     = 2.0
	DefaultMaxInFlight      = 16
	DefaultMaxWait          = time.Second
	DefaultFailureThreshold = 5
	DefaultPause            = 500 * time.Millisecond
	DefaultMaxPause         = 10 * time.Second
	DefaultProbeInterval    = time.Second
)

// Config holds the settings of one gate.
type Config struct {
	// ReadsPerSecond and WritesPerSecond bound the rates of calls; a watch counts as a read.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// BurstSeconds is the size of a burst, in seconds of the rate.
	BurstSeconds float64
	// MaxInFlight bounds the reads and writes in flight; waiting watches are not counted.
	MaxInFlight int
	// MaxWait is the longest wait for the rate; a call that would wait longer is rejected.
	MaxWait time.Duration
	// FailureThreshold is the number of consecutive failed calls that opens the circuit breaker.
	FailureThreshold int
	// Pause and MaxPause bound the pause after the breaker opens. Pause also
	// bounds the one after a rejection by the platform's rate limit.
	Pause    time.Duration
	MaxPause time.Duration
	// ProbeInterval is the time between the calls that are allowed after the
	// pause, until one succeeds.
	ProbeInterval time.Duration
}

// WithDefaults returns the configuration with every unset field filled in.
func (c Config) WithDefaults() Config {
	setDefault(&c.ReadsPerSecond, DefaultReadsPerSecond)
	setDefault(&c.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&c.BurstSeconds, DefaultBurstSeconds)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.MaxWait, DefaultMaxWait)
	setDefault(&c.FailureThreshold, DefaultFailureThreshold)
	setDefault(&c.Pause, DefaultPause)
	setDefault(&c.MaxPause, DefaultMaxPause)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	return c
}

func setDefault[T comparable](field *T, fallback T) {
	var zero T
	if *field == zero {
		*field = fallback
	}
}
