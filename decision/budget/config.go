package budget

import "time"

// Defaults of a gate.
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

// Config is what one gate works by.
type Config struct {
	// ReadsPerSecond and WritesPerSecond bound the calls; a watch is a read.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// BurstSeconds is how long the rate may be saved up.
	BurstSeconds float64
	// UnderWay bounds reads and writes without an answer; waiting watches
	// are not counted.
	MaxInFlight int
	// MaxWait is the longest wait for the rate; a call that would wait longer
	// is refused.
	MaxWait time.Duration
	// Failures is how many calls in a row fail before the breaker opens.
	FailureThreshold int
	// Pause and MaxPause bound the time that the breaker stays open.
	Pause    time.Duration
	MaxPause time.Duration
	// ProbeInterval is the time between calls let through after the pause
	// until one succeeds.
	ProbeInterval time.Duration
}

// WithDefaults returns the configuration with every unset field filled in.
func (c Config) WithDefaults() Config {
	fill(&c.ReadsPerSecond, DefaultReadsPerSecond)
	fill(&c.WritesPerSecond, DefaultWritesPerSecond)
	fill(&c.BurstSeconds, DefaultBurstSeconds)
	fill(&c.MaxInFlight, DefaultMaxInFlight)
	fill(&c.MaxWait, DefaultMaxWait)
	fill(&c.FailureThreshold, DefaultFailureThreshold)
	fill(&c.Pause, DefaultPause)
	fill(&c.MaxPause, DefaultMaxPause)
	fill(&c.ProbeInterval, DefaultProbeInterval)
	return c
}

func fill[T comparable](field *T, fallback T) {
	var zero T
	if *field == zero {
		*field = fallback
	}
}
