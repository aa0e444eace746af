package forward

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/reach"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
)

// reachMonitor tells of which services this instance reaches no server, and which server is to be
// probed. It is safe for concurrent use; only the duty RunReach calls update and nextProbe.
type reachMonitor struct {
	directory *directory.Directory
	mu        sync.Mutex
	tracker   *reach.Tracker
	cutOff    peers.CutOff
	// spreadAt is when all services were last suspected.
	spreadAt time.Time
	// turn counts the probes while the instance is cut off.
	turn int
	// wake is signalled when a service may have changed its state.
	wake chan struct{}
}

// spreadInterval is the minimum time between two checks of all services.
const spreadInterval = 5 * time.Second

func newReachMonitor(servers *directory.Directory) *reachMonitor {
	return &reachMonitor{directory: servers, tracker: reach.NewTracker(reach.DefaultPolicy()), wake: make(chan struct{}, 1)}
}

// opened records that a server accepted a new connection.
func (m *reachMonitor) opened(server *directory.Server) {
	m.mu.Lock()
	m.tracker.Opened(time.Now(), server.Service)
	changed := m.cutOff.Includes(server.Service)
	m.mu.Unlock()
	if changed {
		m.signal()
	}
}

// failed records that no new connection to a server could be opened.
func (m *reachMonitor) failed(server *directory.Server, timedOut bool) {
	m.mu.Lock()
	m.tracker.Failed(time.Now(), server.Service, server.ID, timedOut)
	m.mu.Unlock()
	m.signal()
}

// suspect records that a server seemed unreachable for another reason than a new connection.
func (m *reachMonitor) suspect(server *directory.Server) {
	m.mu.Lock()
	m.tracker.Suspect(time.Now(), server.Service)
	m.mu.Unlock()
	m.signal()
}

func (m *reachMonitor) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
		// The duty has a pending signal already.
	}
}

// includes reports whether this instance reaches no server of a service.
func (m *reachMonitor) includes(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutOff.Includes(service)
}

const (
	// maxVerdictWait is how long it may take to find out whether any server is reached, verdictInterval the time
	// between two checks of that.
	maxVerdictWait  = 800 * time.Millisecond
	verdictInterval = 10 * time.Millisecond
)

// reachesServersSince reports whether a server accepted a new connection after a time. It waits until that is known;
// the duty probes servers meanwhile.
func (m *reachMonitor) reachesServersSince(at time.Time) bool {
	for time.Since(at) < maxVerdictWait {
		m.mu.Lock()
		opened, cutOff := m.tracker.OpenedAt().After(at), m.cutOff.All
		m.mu.Unlock()
		if opened || cutOff {
			return opened
		}
		time.Sleep(verdictInterval)
	}
	return false
}

// update computes of which services this instance reaches no server, and returns the previous and the new
// statement and whether any service has to be probed.
func (m *reachMonitor) update(now time.Time, lastResponse func(server string) time.Time) (before, after peers.CutOff, probe bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before = m.cutOff
	unconfirmed := m.tracker.Unconfirmed()
	if len(unconfirmed) == 0 {
		m.cutOff = peers.CutOff{}
		return before, m.cutOff, false
	}
	servers := m.readyServers()
	slices.Sort(unconfirmed)
	for _, service := range unconfirmed {
		if m.tracker.State(now, service, idsOf(servers[service]), lastResponse) == reach.CutOff {
			after.Services = append(after.Services, service)
		}
	}
	if len(after.Services) > len(before.Services) && now.Sub(m.spreadAt) >= spreadInterval {
		// The other services are probed soon, too: the links of this instance may be the cause.
		m.spreadAt = now
		for service := range servers {
			m.tracker.Suspect(now, service)
		}
	}
	if m.tracker.AllCutOff(after.Services, len(servers)) {
		after = peers.CutOff{All: true, Services: slices.Sorted(maps.Keys(servers))}
	}
	m.cutOff = after
	return before, after, true
}

// nextProbe returns the server to probe next, nil for none, and whether that is to find out whether
// the instance is cut off. Else it is cut off already.
func (m *reachMonitor) nextProbe() (server *directory.Server, suspected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	servers := m.readyServers()
	m.turn++
	if !m.cutOff.All {
		for _, service := range m.tracker.Unconfirmed() {
			if m.cutOff.Includes(service) {
				continue
			}
			untried := slices.DeleteFunc(servers[service], func(s *directory.Server) bool { return m.tracker.HasFailed(service, s.ID) })
			if len(untried) > 0 {
				return untried[m.turn%len(untried)], true
			}
		}
	}
	services := slices.DeleteFunc(slices.Sorted(maps.Keys(servers)), func(service string) bool { return !m.cutOff.Includes(service) })
	if len(services) == 0 {
		return nil, true
	}
	candidates := servers[services[m.turn%len(services)]]
	return candidates[m.turn/len(services)%len(candidates)], false
}

// readyServers returns the servers that take new requests by service.
func (m *reachMonitor) readyServers() map[string][]*directory.Server {
	servers := make(map[string][]*directory.Server)
	for _, server := range m.directory.Snapshot().All {
		if !server.Draining {
			servers[server.Service] = append(servers[server.Service], server)
		}
	}
	return servers
}

func idsOf(servers []*directory.Server) []string {
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	return ids
}
