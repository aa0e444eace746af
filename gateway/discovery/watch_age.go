package discovery

import "time"

// Watches are the names of the watches that a Follower runs.
var Watches = []string{watchConfiguration, watchServers}

// Unanswered returns how long the store has not answered a watch of this instance, 0 while the instance
// doesn't follow the store. A watch without a change is answered at the end of its waiting time.
func (f *Follower) Unanswered(watch string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, follows := f.answeredAt[watch]
	if !follows {
		return 0
	}
	return max(0, now.Sub(since))
}

// recordFollowing records that a watch runs from now on, unless it does already; mu is not held.
func (f *Follower) recordFollowing(watch string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, follows := f.answeredAt[watch]; !follows {
		f.answeredAt[watch] = now
	}
}
