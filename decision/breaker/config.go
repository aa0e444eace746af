package breaker

import "time"

// Config holds the thresholds and delays of a breaker.
type Config struct {
	// FailureThreshold is how many consecutive failures open the breaker.
	FailureThreshold int
	// OpenWait is the longest wait before the first probe; the jitter takes off
	// up to a half.
	OpenWait time.Duration
	// MaxOpenWait bounds the wait, which doubles with each failed probe.
	MaxOpenWait time.Duration
	// ProbeSuccessAfter is the time after which a probe that is still running counts
	// as a success.
	ProbeSuccessAfter time.Duration
}

// DefaultConfig returns the configuration used by entry instances.
func DefaultConfig() Config {
	return Config{
		FailureThreshold:  3,
		OpenWait:          time.Second,
		MaxOpenWait:       30 * time.Second,
		ProbeSuccessAfter: 5 * time.Second,
	}
}
