package rollouts

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

const (
	// evaluationInterval is the time between two evaluations.
	evaluationInterval = 200 * time.Millisecond
	// recentTime is the age up to which a peer's evidence shows that it is in touch.
	recentTime = 5 * time.Second
	// minSample is the minimum number of new servers that are used.
	minSample = 2
	// arrivalTime is how long a version that appears without an order waits for one.
	arrivalTime = time.Second
	// stopBadAnswers is the number of bad answers of a version with a verdict against it at which nothing more is sent
	// there; evidence on its way may hold the rest.
	stopBadAnswers = rollout.MaxBadAnswers * 3 / 5
	// endedTime is how long a version that was rolled back must be without servers before it may be used again.
	endedTime = 30 * time.Second
	// maxReports bounds the peers' processes whose evidence is kept for an order.
	maxReports = 4096
)

// Options are the dependencies of a manager.
type Options struct {
	Limits    rollout.Limits
	Store     Store
	Directory *directory.Directory
	// Role returns how this instance follows the store. WriterRank is the rank of its data centre among those whose
	// first relays write the state of an order, from 0.
	Role       func() discovery.RelayRole
	WriterRank func(order string) int
	// Known reports whether the configuration has a service; DrainTime is the longest time of a request.
	Known     func(service string) bool
	DrainTime func() time.Duration
	// Instances returns the number of known instances, this one included.
	Instances func() int
	// Announce is called when peers have to learn at once what News returns.
	Announce func()
	Instance string
	Logger   zerolog.Logger
	Metrics  metrics.Registry
}

type streamKey struct{ service, version string }

// arrival is when a software version of a service was first seen.
type arrival struct {
	at time.Time
	// settled is set when it was among the first versions seen.
	settled bool
}

// Manager divides the requests of services over software versions. It is safe for concurrent use.
type Manager struct {
	options Options
	now     func() time.Time
	mu      sync.Mutex
	moves   map[string]*move
	// attempts are those that run; streams counts the running streams.
	attempts map[*Attempt]bool
	streams  map[streamKey]int
	arrivals map[string]map[string]arrival
	// snapshot is the list of servers of which the arrivals were recorded.
	snapshot *directory.Snapshot
	// invalid holds the revision at which an object was last found invalid, by name.
	invalid map[string]uint64
	// asOf is the store's revision as of which the orders are complete: another one of that revision or before was removed. It is
	// zero before the first list.
	asOf revision.Revision
	// unknown holds orders for services that the configuration doesn't have yet, by name: orders may be read before it.
	unknown map[string]Entry
}

// New returns a manager that doesn't run yet.
func New(options Options) *Manager {
	return &Manager{
		options: options, now: time.Now, moves: make(map[string]*move), attempts: make(map[*Attempt]bool),
		streams: make(map[streamKey]int), arrivals: make(map[string]map[string]arrival), invalid: make(map[string]uint64), unknown: make(map[string]Entry),
	}
}

// Choose returns which servers the next attempt of a request may use; first is set for the first one. The draw of
// a request is made once, however often its server is chosen.
func (m *Manager) Choose(service, route string, first bool, draw *Draw) Choice {
	if m == nil || !m.options.Limits.Enabled() {
		return Choice{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordArrivals()
	found := m.moves[service]
	if found == nil {
		return Choice{not: m.arriving(service)}
	}
	old := Choice{not: append(slices.Clone(found.barred), found.order.To)}
	switch found.plan.Outcome {
	case rollout.Completed:
		if len(m.ready(service, found.order.To)) > 0 {
			return Choice{only: found.order.To}
		}
		return Choice{}
	case rollout.RolledBack, rollout.Withdrawn:
		return old
	}
	if found.plan.Share >= 1 {
		if len(m.ready(service, found.order.To)) > 0 {
			return Choice{only: found.order.To}
		}
		return old
	}
	if first && draw.order != found.id {
		*draw = Draw{order: found.id, takesNew: found.takeNew(hash32(route))}
	}
	if !first || !draw.takesNew || len(found.sample) == 0 {
		return old
	}
	return Choice{only: found.order.To, sample: found.sample}
}

// Stopped reports whether nothing may be sent to a server, also no stream that its version began.
func (m *Manager) Stopped(server *directory.Server) bool {
	if m == nil || server == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	found := m.moves[server.Service]
	return found != nil && found.stopped && server.SoftwareVersion == found.order.To
}

// arriving returns the versions of a service that appeared less than arrivalTime ago beside others.
func (m *Manager) arriving(service string) []string {
	versions := m.arrivals[service]
	var arriving []string
	for version, seen := range versions {
		if !seen.settled && m.now().Sub(seen.at) < arrivalTime {
			arriving = append(arriving, version)
		}
	}
	if len(arriving) == len(versions) {
		return nil
	}
	return arriving
}

// recordArrivals records the versions of all services if the servers have changed.
func (m *Manager) recordArrivals() {
	snapshot, now := m.options.Directory.Snapshot(), m.now()
	if snapshot == m.snapshot {
		return
	}
	m.snapshot = snapshot
	present := make(map[string]map[string]bool)
	for _, server := range snapshot.All {
		if server.SoftwareVersion == "" {
			continue
		}
		if present[server.Service] == nil {
			present[server.Service] = make(map[string]bool)
		}
		present[server.Service][server.SoftwareVersion] = true
	}
	for service, versions := range present {
		before := m.arrivals[service]
		seen := make(map[string]arrival, len(versions))
		for version := range versions {
			if known, found := before[version]; found {
				seen[version] = known
			} else {
				seen[version] = arrival{at: now, settled: before == nil}
			}
		}
		m.arrivals[service] = seen
	}
}

// ready returns the servers of a version that take new requests.
func (m *Manager) ready(service, version string) []*directory.Server {
	var ready []*directory.Server
	for _, server := range m.options.Directory.Snapshot().ForService(service) {
		if !server.Draining && server.SoftwareVersion == version {
			ready = append(ready, server)
		}
	}
	return ready
}
