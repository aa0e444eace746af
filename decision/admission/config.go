package admission

import "time"

// Config holds the bounds of waiting and of retries.
type Config struct {
	// MaxQueued is the maximum number of waiting requests of one service.
	MaxQueued int
	// MinWait and MaxWait bound the longest expected wait at which requests are
	// still queued. It is the mean run time of the service within these bounds.
	MinWait time.Duration
	MaxWait time.Duration
	// BurstWindow is the time over which a rate is averaged: an idle account may
	// send the amount of this time at once. Without it, the small shares of a rate on
	// many instances would refuse the second of two consecutive requests.
	BurstWindow time.Duration
	// NoShareRetry is the retry time of an account without a share on this
	// instance: the time in which shares move between instances.
	NoShareRetry time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry time sent to clients, before jitter.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the configuration of entry instances.
func DefaultConfig() Config {
	return Config{
		MaxQueued:     256,
		MinWait:       time.Second,
		MaxWait:       10 * time.Second,
		BurstWindow:   4 * time.Second,
		NoShareRetry:  2 * time.Second,
		MinRetryAfter: time.Second,
		MaxRetryAfter: 60 * time.Second,
	}
}
