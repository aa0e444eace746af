package load

import "time"

// Config holds the parameters of the estimate.
type Config struct {
	// StaleAfter is the maximum age of a report that is used.
	StaleAfter time.Duration
	// MaxLag is the maximum age of starts and ends that correct a report.
	MaxLag time.Duration
	// Uncorrected disables the correction, for comparison.
	Uncorrected bool
}

// DefaultConfig returns the configuration of entry instances.
func DefaultConfig() Config {
	return Config{StaleAfter: 5 * time.Second, MaxLag: 5 * time.Second}
}
