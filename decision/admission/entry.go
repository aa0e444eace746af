package admission

import "time"

// entry is a request that waits or runs.
type entry struct {
	arrival Arrival
	running bool
	started time.Duration
}
