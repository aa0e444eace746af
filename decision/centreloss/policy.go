package centreloss

import "time"

// Policy holds the thresholds of a Tracker.
type Policy struct {
	// Servers is the number of servers that have to be lost together; of smaller groups all have to, and two at least.
	Servers int
	// Window is how long a sign of silence counts after the last one.
	Window time.Duration
}

// DefaultPolicy returns the policy of instances.
func DefaultPolicy() Policy { return Policy{Servers: 3, Window: time.Second} }
