package configspread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// relayKey is the rendezvous key of the relays of a data centre.
const relayKey = "config-relay/"

// maxDoublings bounds the growth of a pause.
const maxDoublings = 10

// Machine is the state of one instance.
type Machine struct {
	config Config
	random *rand.Rand

	inForce uint64
	peers   []Peer
	relay   bool

	watching      bool
	stopping      bool
	watchFailures int
	nextWatch     time.Time

	fetching         bool
	source           string
	platformFailures int
	peerFailures     int
	nextPlatform     time.Time
	nextPeer         time.Time
	// offered is the newest revision seen at the platform.
	offered uint64
	// ask means that the peers failed and the platform is asked instead.
	ask bool
	// farSince is when only other data centres began to hold a newer revision.
	farSince time.Time

	nextFallback time.Time
	started      bool
	counters     Counters
	actions      []Action
}

// Counters count what the machine decided.
type Counters struct {
	Watches          uint64 `json:"watches"`
	PlatformFetches  uint64 `json:"platform_fetches"`
	PeerFetches      uint64 `json:"peer_fetches"`
	PlatformFailures uint64 `json:"platform_failures"`
	PeerFailures     uint64 `json:"peer_failures"`
	Applied          uint64 `json:"applied"`
	// Outdated counts fetched revisions that were not newer.
	Outdated uint64 `json:"outdated"`
}

// New returns a machine without a configuration.
func New(config Config, random *rand.Rand) *Machine {
	return &Machine{config: config.WithDefaults(), random: random}
}

// Step takes one input and returns what to do.
func (m *Machine) Step(now time.Time, input Input) []Action {
	m.actions = nil
	if !m.started {
		m.started = true
		m.nextFallback = now.Add(m.jittered(m.config.StartWait))
	}
	input.apply(m, now)
	m.decide(now)
	return m.actions
}

// Revision returns the revision in force, zero for none.
func (m *Machine) Revision() uint64 { return m.inForce }

// Relay reports whether this instance watches the platform.
func (m *Machine) Relay() bool { return m.relay }

// Counters returns what the machine counted.
func (m *Machine) Counters() Counters { return m.counters }

// apply lets time pass.
func (Tick) apply(*Machine, time.Time) {}

// apply takes over the live instances and chooses the relays.
func (in Members) apply(m *Machine, _ time.Time) {
	m.peers = slices.Clone(in.Peers)
	slices.SortFunc(m.peers, func(a, b Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	names := []string{m.config.Instance}
	for _, holder := range m.peers {
		if holder.DataCentre == m.config.DataCentre {
			names = append(names, holder.Instance)
		}
	}
	relays := rendezvous.Top(relayKey+m.config.DataCentre, names, m.config.Relays)
	m.relay = slices.Contains(relays, m.config.Instance)
}

// apply ends the watch and plans the next one.
func (in WatchEnded) apply(m *Machine, now time.Time) {
	m.watching, m.stopping = false, false
	if in.Failed {
		m.counters.PlatformFailures++
		m.watchFailures++
		m.nextWatch = now.Add(m.backoff(m.config.Backoff, m.watchFailures))
		return
	}
	m.watchFailures = 0
	m.nextWatch = now
	m.offered = max(m.offered, in.Revision)
}

// apply ends the fetch and applies a newer revision.
func (in Fetched) apply(m *Machine, now time.Time) {
	fromPlatform := m.source == ""
	m.fetching = false
	if in.Failed {
		m.fetchFailed(fromPlatform, now)
		return
	}
	if fromPlatform {
		m.platformFailures = 0
		m.ask = false
		m.offered = min(m.offered, max(in.Revision, m.inForce))
		m.nextFallback = now.Add(m.jittered(m.config.FallbackAfter))
	}
	if in.Revision <= m.inForce {
		m.counters.Outdated++
		m.nextPeer = now.Add(m.backoff(m.config.PeerBackoff, 1))
		return
	}
	m.peerFailures = 0
	m.inForce = in.Revision
	m.counters.Applied++
	m.nextFallback = now.Add(m.jittered(m.config.FallbackAfter))
	m.actions = append(m.actions, Action{Kind: ActionApply, Revision: in.Revision})
}

func (m *Machine) fetchFailed(fromPlatform bool, now time.Time) {
	if fromPlatform {
		m.counters.PlatformFailures++
		m.platformFailures++
		m.nextPlatform = now.Add(m.backoff(m.config.Backoff, m.platformFailures))
		return
	}
	m.counters.PeerFailures++
	m.peerFailures++
	m.nextPeer = now.Add(m.backoff(m.config.PeerBackoff, m.peerFailures))
	if m.peerFailures >= m.config.MaxPeerFailures {
		m.ask = true
		m.peerFailures = 0
		m.nextPlatform = later(m.nextPlatform, now.Add(m.jittered(m.config.Backoff)))
	}
}

// decide starts what is due.
func (m *Machine) decide(now time.Time) {
	m.decideWatch(now)
	if m.fetching {
		return
	}
	if source, ok := m.newerPeer(now); ok && !now.Before(m.nextPeer) {
		m.counters.PeerFetches++
		m.fetch(source)
		return
	}
	if m.platformDue(now) && !now.Before(m.nextPlatform) {
		m.counters.PlatformFetches++
		m.fetch("")
	}
}

// decideWatch starts or ends the waiting watch of a relay.
func (m *Machine) decideWatch(now time.Time) {
	switch {
	case m.relay && !m.watching && !now.Before(m.nextWatch) && !m.platformBehind():
		m.watching = true
		m.counters.Watches++
		m.actions = append(m.actions, Action{Kind: ActionWatch, Revision: m.inForce})
	case !m.relay && m.watching && !m.stopping:
		m.stopping = true
		m.actions = append(m.actions, Action{Kind: ActionStopWatch})
	}
}

// platformBehind reports whether a watch would end at once, because what it
// would tell has yet to be fetched.
func (m *Machine) platformBehind() bool { return m.offered > m.inForce || m.inForce == 0 }

// platformDue reports whether the platform is to be asked: it has something
// newer, a relay knows nothing yet, or nothing was heard for long.
func (m *Machine) platformDue(now time.Time) bool {
	first := m.relay && m.inForce == 0
	return m.ask || m.offered > m.inForce || first || !now.Before(m.nextFallback)
}

// newerPeer picks a live instance that holds a newer revision: one of the own
// data centre, or after a while one of another.
func (m *Machine) newerPeer(now time.Time) (string, bool) {
	var near, far []string
	for _, holder := range m.peers {
		switch {
		case holder.Revision <= m.inForce:
		case holder.DataCentre == m.config.DataCentre:
			near = append(near, holder.Instance)
		default:
			far = append(far, holder.Instance)
		}
	}
	if len(near) > 0 || len(far) == 0 {
		m.farSince = time.Time{}
		return m.pick(near)
	}
	if m.farSince.IsZero() {
		m.farSince = now
	}
	if now.Sub(m.farSince) < m.config.RemoteWait {
		return "", false
	}
	return m.pick(far)
}

func (m *Machine) pick(names []string) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	return names[m.random.IntN(len(names))], true
}

func (m *Machine) fetch(source string) {
	m.fetching = true
	m.source = source
	m.actions = append(m.actions, Action{Kind: ActionFetch, Source: source, Revision: m.inForce})
}

// backoff returns a pause with full jitter that doubles with each failure.
func (m *Machine) backoff(base time.Duration, failures int) time.Duration {
	limit := min(m.config.MaxBackoff, base<<min(failures, maxDoublings))
	return time.Duration(m.random.Int64N(int64(limit)) + 1)
}

// jittered returns a duration between one and two times the given one.
func (m *Machine) jittered(span time.Duration) time.Duration {
	return span + time.Duration(m.random.Int64N(int64(span)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
