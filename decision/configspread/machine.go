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

// maxDoublings bounds the exponential growth of a backoff.
const maxDoublings = 10

// Machine holds the state of one instance's configuration updates.
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
	// platformRevision is the newest revision that a watch saw at the platform,
	// lowered to the one that a later fetch read there.
	platformRevision uint64
	// askPlatform means that the next fetch goes to the platform because fetches from peers failed.
	askPlatform bool
	// remoteOnlySince is the time since which only peers in other data centres hold a
	// newer revision; it is zero otherwise.
	remoteOnlySince time.Time

	nextFallback time.Time
	started      bool
	counters     Counters
	actions      []Action
}

// Counters counts what the machine started and the results.
type Counters struct {
	Watches          uint64 `json:"watches"`
	PlatformFetches  uint64 `json:"platform_fetches"`
	PeerFetches      uint64 `json:"peer_fetches"`
	PlatformFailures uint64 `json:"platform_failures"`
	PeerFailures     uint64 `json:"peer_failures"`
	Applied          uint64 `json:"applied"`
	// Outdated counts fetched revisions that were not newer than the one in force.
	Outdated uint64 `json:"outdated"`
}

// New returns a machine with no configuration in force.
func New(config Config, random *rand.Rand) *Machine {
	return &Machine{config: config.WithDefaults(), random: random}
}

// Step processes one input and returns the actions to carry out.
func (m *Machine) Step(now time.Time, input Input) []Action {
	m.actions = nil
	if !m.started {
		m.started = true
		m.nextFallback = now.Add(m.jittered(m.config.StartWait))
	}
	input.apply(m, now)
	m.startDue(now)
	return m.actions
}

// Revision returns the revision in force, zero for none.
func (m *Machine) Revision() uint64 { return m.inForce }

// Relay reports whether this instance watches the platform.
func (m *Machine) Relay() bool { return m.relay }

// Counters returns the current values of the counters.
func (m *Machine) Counters() Counters { return m.counters }

// apply changes nothing: Machine.Step itself starts what is due.
func (Tick) apply(*Machine, time.Time) {}

// apply replaces the live peers and selects the relays.
func (in Members) apply(m *Machine, _ time.Time) {
	m.peers = slices.Clone(in.Peers)
	slices.SortFunc(m.peers, func(a, b Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	names := []string{m.config.Instance}
	for _, peer := range m.peers {
		if peer.DataCentre == m.config.DataCentre {
			names = append(names, peer.Instance)
		}
	}
	relays := rendezvous.Top(relayKey+m.config.DataCentre, names, m.config.Relays)
	m.relay = slices.Contains(relays, m.config.Instance)
}

// apply ends the watch and schedules the next one.
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
	m.platformRevision = max(m.platformRevision, in.Revision)
}

// apply ends the fetch and puts a newer revision in force.
func (in Fetched) apply(m *Machine, now time.Time) {
	fromPlatform := m.source == ""
	m.fetching = false
	if in.Failed {
		m.fetchFailed(fromPlatform, now)
		return
	}
	if fromPlatform {
		m.platformFailures = 0
		m.askPlatform = false
		m.platformRevision = min(m.platformRevision, max(in.Revision, m.inForce))
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
		m.askPlatform = true
		m.peerFailures = 0
		m.nextPlatform = later(m.nextPlatform, now.Add(m.jittered(m.config.Backoff)))
	}
}

// startDue starts the watch and the fetch that are due.
func (m *Machine) startDue(now time.Time) {
	m.updateWatch(now)
	if m.fetching {
		return
	}
	if source, ok := m.newerPeer(now); ok && !now.Before(m.nextPeer) {
		m.counters.PeerFetches++
		m.fetch(source)
		return
	}
	if m.platformFetchDue(now) && !now.Before(m.nextPlatform) {
		m.counters.PlatformFetches++
		m.fetch("")
	}
}

// updateWatch starts the watch of a relay, or cancels the watch of an instance
// that is no longer one.
func (m *Machine) updateWatch(now time.Time) {
	switch {
	case m.relay && !m.watching && !now.Before(m.nextWatch) && !m.platformAhead():
		m.watching = true
		m.counters.Watches++
		m.actions = append(m.actions, Action{Kind: ActionWatch, Revision: m.inForce})
	case !m.relay && m.watching && !m.stopping:
		m.stopping = true
		m.actions = append(m.actions, Action{Kind: ActionStopWatch})
	}
}

// platformAhead reports whether a watch would end at once, because the platform
// has a revision that is yet to be fetched.
func (m *Machine) platformAhead() bool { return m.platformRevision > m.inForce || m.inForce == 0 }

// platformFetchDue reports whether to fetch from the platform: fetches from peers
// failed, the platform has a newer revision, a relay has none yet, or the fallback
// time has passed.
func (m *Machine) platformFetchDue(now time.Time) bool {
	first := m.relay && m.inForce == 0
	return m.askPlatform || m.platformRevision > m.inForce || first || !now.Before(m.nextFallback)
}

// newerPeer picks a random peer that holds a newer revision: one in this data
// centre, or one in another after Config.RemoteWait.
func (m *Machine) newerPeer(now time.Time) (string, bool) {
	var local, remote []string
	for _, peer := range m.peers {
		switch {
		case peer.Revision <= m.inForce:
		case peer.DataCentre == m.config.DataCentre:
			local = append(local, peer.Instance)
		default:
			remote = append(remote, peer.Instance)
		}
	}
	if len(local) > 0 || len(remote) == 0 {
		m.remoteOnlySince = time.Time{}
		return m.pick(local)
	}
	if m.remoteOnlySince.IsZero() {
		m.remoteOnlySince = now
	}
	if now.Sub(m.remoteOnlySince) < m.config.RemoteWait {
		return "", false
	}
	return m.pick(remote)
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

// backoff returns a random duration up to a limit that doubles with each failure (full jitter).
func (m *Machine) backoff(base time.Duration, failures int) time.Duration {
	limit := min(m.config.MaxBackoff, base<<min(failures, maxDoublings))
	return time.Duration(m.random.Int64N(int64(limit)) + 1)
}

// jittered returns a random duration between span and twice span.
func (m *Machine) jittered(span time.Duration) time.Duration {
	return span + time.Duration(m.random.Int64N(int64(span)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
