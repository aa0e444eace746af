package reach

import "time"

// Policy holds the thresholds of a Tracker.
type Policy struct {
	// Servers is the number of servers that have to fail; of smaller services all have to.
	Servers int
	// Wait is the time without a new connection after the first failure.
	Wait time.Duration
}

// DefaultPolicy returns the policy of instances.
func DefaultPolicy() Policy { return Policy{Servers: 3, Wait: 100 * time.Millisecond} }
