package reach

import (
	"maps"
	"slices"
	"time"
)

// maxFailures bounds the servers of a service whose failures are kept.
const maxFailures = 64

// Tracker records by service how new connections to its servers ended. It is not safe for concurrent use.
type Tracker struct {
	policy   Policy
	services map[string]*suspicion
	// openedAt is when a new connection to any server was last opened.
	openedAt time.Time
}

// suspicion holds the failures of a service since a connection was last opened.
type suspicion struct {
	since    time.Time
	failures map[string]failure
}

// failure is the last failure of a server.
type failure struct {
	at       time.Time
	timedOut bool
}

// NewTracker returns a tracker without failures.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, services: make(map[string]*suspicion)}
}

// Opened records that a server of a service accepted a new connection. The service is reached.
func (t *Tracker) Opened(now time.Time, service string) {
	t.openedAt = now
	delete(t.services, service)
}

// Suspect records that a server of a service seemed unreachable, which the next connections show.
func (t *Tracker) Suspect(now time.Time, service string) {
	if t.services[service] == nil {
		t.services[service] = &suspicion{since: now, failures: make(map[string]failure)}
	}
}

// Failed records that no new connection to a server could be opened. timedOut is set when there was no
// reply, as from a server that is slow to accept.
func (t *Tracker) Failed(now time.Time, service, server string, timedOut bool) {
	t.Suspect(now, service)
	failures := t.services[service].failures
	if _, known := failures[server]; known || len(failures) < maxFailures {
		failures[server] = failure{at: now, timedOut: timedOut}
	}
}

// OpenedAt returns when a new connection to any server was last opened; zero before the first.
func (t *Tracker) OpenedAt() time.Time { return t.openedAt }

// Unconfirmed returns the services whose state is not Reached, in any order.
func (t *Tracker) Unconfirmed() []string { return slices.Collect(maps.Keys(t.services)) }

// State returns the state of a service that has the given servers now. A timeout doesn't count
// when the server responded since, over a connection that was open before.
func (t *Tracker) State(now time.Time, service string, servers []string, lastResponse func(server string) time.Time) State {
	suspected := t.services[service]
	if suspected == nil {
		return Reached
	}
	if len(servers) == 0 {
		delete(t.services, service)
		return Reached
	}
	count := 0
	for _, server := range servers {
		failed, known := suspected.failures[server]
		if known && failed.timedOut && lastResponse(server).After(failed.at) {
			delete(suspected.failures, server)
			continue
		}
		if known {
			count++
		}
	}
	if count >= min(len(servers), t.policy.Servers) && now.Sub(suspected.since) >= t.policy.Wait {
		return CutOff
	}
	return Suspected
}

// HasFailed reports whether the last new connection to a server failed, and none to its service was opened since.
func (t *Tracker) HasFailed(service, server string) bool {
	if suspected := t.services[service]; suspected != nil {
		_, failed := suspected.failures[server]
		return failed
	}
	return false
}

// AllCutOff reports whether the instance is cut off from all services, given those from which it
// is cut off and the number of all: from two of them, or the only one, and no
// connection to any server was opened since the first failure.
func (t *Tracker) AllCutOff(cutOff []string, services int) bool {
	if len(cutOff) == 0 || len(cutOff) < min(2, services) {
		return false
	}
	for _, service := range cutOff {
		if suspected := t.services[service]; suspected != nil && t.openedAt.Before(suspected.since) {
			continue
		}
		return false
	}
	return true
}
