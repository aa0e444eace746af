package admission

import "time"

// Config holds the bounds of waiting and of retries.
type Config struct {
	// MaxQueued is the maximum number of waiting requests of one service.
	Queued int
	// MinWait and MaxWait bound the longest expected wait at which requests are
	// still queued. It is the mean run time of the service within these bounds.
	MinWait time.Duration
	MaxWait time.Duration
	// BurstWindow is the time over which a rate is averaged: an idle account may
	// send the amount of this time at once. Without it, the small shares of a rate on
	// many instances would refuse the second of two consecutive requests.
	Burst time.Duration
	// NoShareRetry is the retry time of an account without a share on this
	// instance: the time in which shares move between instances.
	ShareWait time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry time sent to clients, before jitter.
	MinRetry time.Duration
	MaxRetry time.Duration
}

// DefaultConfig returns the configuration of entry instances.
func DefaultConfig() Config {
	return Config{
		Queued:    256,
		MinWait:   time.Second,
		MaxWait:   10 * time.Second,
		Burst:     4 * time.Second,
		ShareWait: 2 * time.Second,
		MinRetry:  time.Second,
		MaxRetry:  60 * time.Second,
	}
}
