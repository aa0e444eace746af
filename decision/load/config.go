package load

import "time"

// Config holds the parameters of the estimate.
type Config struct {
	// StaleAfter is the maximum age of a report that is used.
	StaleAfter time.Duration
	// MaxLag is the maximum age of the starts and ends of requests by which a report
	// is corrected.
	MaxLag time.Duration
	// Uncorrected disables the correction, for comparison.
	Uncorrected bool
}

// DefaultConfig returns the configuration of entry instances.
func DefaultConfig() Config {
	return Config{StaleAfter: 5 * time.Second, MaxLag: 5 * time.Second}
}
