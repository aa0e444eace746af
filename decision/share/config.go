package share

import "time"

// Config holds the times of the exchange of reports.
type Config struct {
	// Period is the longest time between two reports of an instance, and the
	// longest time in transit after which a report is dropped.
	Period time.Duration
	// SilenceTimeout is the time without a report after which a peer counts as silent.
	SilenceTimeout time.Duration
	// PauseThreshold is the time without a step after which the holder releases its
	// share, because its peers may have removed the instance as failed.
	PauseThreshold time.Duration
}

// DefaultConfig returns the configuration for an exchange period.
func DefaultConfig(period time.Duration) Config {
	return Config{Period: period, SilenceTimeout: 3 * period, PauseThreshold: 4 * period}
}
