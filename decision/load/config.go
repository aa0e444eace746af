package load

import "time"

// Config tunes the estimate.
type Config struct {
	// StaleAfter is the age at which a report is no longer used.
	StaleAfter time.Duration
	// MaxLag bounds how far back own requests are counted.
	MaxLag time.Duration
	// Uncorrected uses reports as they are, for comparison.
	Uncorrected bool
}

// DefaultConfig returns the values used by entry instances.
func DefaultConfig() Config {
	return Config{StaleAfter: 5 * time.Second, MaxLag: 5 * time.Second}
}
