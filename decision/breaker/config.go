package breaker

import "time"

// Config holds the thresholds of a breaker.
type Config struct {
	// Failures is how many consecutive failures open the breaker.
	FailureThreshold int
	// OpenWait is the wait before the first probe.
	OpenWait time.Duration
	// MaxOpenWait bounds the doubled wait.
	MaxOpenWait time.Duration
	// ProbeSettled is the time after which a probe that still runs counts as
	// a success.
	ProbeSuccessAfter time.Duration
}

// DefaultConfig returns the thresholds used by entry instances.
func DefaultConfig() Config {
	return Config{
		FailureThreshold:  3,
		OpenWait:          time.Second,
		MaxOpenWait:       30 * time.Second,
		ProbeSuccessAfter: 5 * time.Second,
	}
}
