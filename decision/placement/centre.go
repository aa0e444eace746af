package placement

import "time"

// centre holds the recent failures in one data centre.
type centre struct {
	// failures holds the time of each server's last failure.
	failures map[string]time.Time
}

// failed records the failure of a server and removes those older than the window.
func (c *centre) failed(now time.Time, id string, window time.Duration) {
	for other, at := range c.failures {
		if now.Sub(at) > window {
			delete(c.failures, other)
		}
	}
	c.failures[id] = now
}

// suspected reports whether so many servers failed within the window that the
// whole data centre may have failed, and returns the time of the last failure.
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
