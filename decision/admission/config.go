package admission

import "time"

// Config bounds what waits.
type Config struct {
	// Queued bounds the waiting requests of one service.
	MaxQueued int
	// MinWait and MaxWait bound the longest expected wait before load is shed,
	// which is the mean run time within these bounds.
	MinWait time.Duration
	MaxWait time.Duration
	// Burst is the time over which a rate is averaged: an account that sent
	// nothing may send that much at once. Small shares of a rate on many
	// instances would refuse the second request in a row without it.
	BurstWindow time.Duration
	// ShareWait is when a client comes back to an account without a share on
	// this instance: the time in which shares move.
	NoShareRetry time.Duration
	// MinRetry and MaxRetry bound the time told to clients.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the values used by entry instances.
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
