package share

import "time"

// Config tunes the exchange.
type Config struct {
	// Period is the longest time between two reports of an instance, and the
	// longest that a report travels before it is dropped.
	Period time.Duration
	// Silence is the time after which a peer counts as not heard.
	SilenceTimeout time.Duration
	// Pause is the time without a step after which the holder takes itself
	// for one that was declared dead and gives its share up.
	PauseThreshold time.Duration
}

// DefaultConfig returns the values for an exchange period.
func DefaultConfig(period time.Duration) Config {
	return Config{Period: period, SilenceTimeout: 3 * period, PauseThreshold: 4 * period}
}
