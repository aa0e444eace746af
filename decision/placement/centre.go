package placement

import "time"

// centreFailures holds the recent failures in one data centre.
type centreFailures struct {
	// lastFailures holds the time of each server's last failure.
	lastFailures map[string]time.Time
}

// record records the failure of a server and removes those older than the window.
func (c *centreFailures) record(now time.Time, id string, window time.Duration) {
	for other, at := range c.lastFailures {
		if now.Sub(at) > window {
			delete(c.lastFailures, other)
		}
	}
	c.lastFailures[id] = now
}

// suspected reports whether so many servers failed within the window that the
// whole data centre may have failed, and returns the time of the last failure.
func (c *centreFailures) suspected(now time.Time, policy Policy) (since time.Time, suspected bool) {
	count := 0
	for _, at := range c.lastFailures {
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
