package placement

import "time"

// centre is what the ledger knows of the failures in one data centre.
type centre struct {
	// failures holds when each server last failed.
	failures map[string]time.Time
}

// failed notes the failure of a server and forgets those before the window.
func (c *centre) failed(now time.Time, id string, window time.Duration) {
	for other, at := range c.failures {
		if now.Sub(at) > window {
			delete(c.failures, other)
		}
	}
	c.failures[id] = now
}

// suspected reports whether so many servers failed within the window that the
// data centre may be lost as a whole, and when the last one did.
func (c *centre) suspected(now time.Time, policy Policy) (since time.Time, suspected bool) {
	count := 0
	for _, at := range c.failures {
		if now.Sub(at) > policy.CentreWindow {
			continue
		}
		count++
		if at.After(since) {
			since = at
		}
	}
	return since, count >= policy.CentreFailures
}
