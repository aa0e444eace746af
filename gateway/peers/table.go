package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerTimeout is the time without a digest after which a peer is removed. It is
	// longer than the network partitions that instances are expected to survive,
	// because limits stay shared with the peers during a partition.
	peerTimeout = 30 * time.Second
	// probePeriod is the time between two probes to an address that has not answered.
	probePeriod = time.Second
	// maxProbes is the maximum number of probes to one address.
	maxProbes = 20
)

// Table holds the peers of an instance and decides from which of them newer state is
// fetched. It is deterministic and not safe for concurrent use.
type Table struct {
	// instance is the name of this instance.
	instance string
	peers    map[netip.Addr]*peer
	// unconfirmed holds addresses of possible peers that have not answered yet.
	unconfirmed map[netip.Addr]*probeRecord
	// lastNonRelayFetch is when the servers were last fetched from a peer that is no relay.
	lastNonRelayFetch time.Time
	// configuration and servers measure how long peers have had newer ones.
	configuration lag
	servers       lag
	// hadPeers is set once a peer was known.
	hadPeers bool
	// difference measures how long the list of servers has differed from that of a relay.
	difference lag
	// storeReachedAt is when a relay of this data centre last reported that the store
	// answers. Before the first call of RelayRole it is zero.
	storeReachedAt time.Time
}

// probeRecord records the probes sent to an address.
type probeRecord struct {
	count int
	last  time.Time
}

// NewTable returns a table without peers that probes the addresses of the seeds.
func NewTable(instance string, ownAddress netip.Addr, seeds []netip.Addr) *Table {
	t := &Table{instance: instance, peers: make(map[netip.Addr]*peer), unconfirmed: make(map[netip.Addr]*probeRecord)}
	for _, seed := range seeds {
		if seed != ownAddress {
			t.unconfirmed[seed] = &probeRecord{}
		}
	}
	return t
}

// Record records the state that a digest gives for its sender, and reports whether it
// did. Digests of this instance, digests that aren't newer than the sender's last one,
// and late digests of the sender's previous process are discarded.
func (t *Table) Record(now time.Time, from netip.Addr, digest *Digest) bool {
	if digest.Instance == t.instance {
		return false
	}
	p := t.peers[from]
	if p == nil || p.instance != digest.Instance {
		p = &peer{instance: digest.Instance, address: from, nameDigest: rendezvous.DigestOf(digest.Instance)}
		t.peers[from] = p
		t.hadPeers = true
	}
	delete(t.unconfirmed, from)
	switch digest.Incarnation {
	case p.incarnation:
		if digest.Sequence <= p.sequence {
			return false
		}
	case p.previousIncarnation:
		return false // a late digest of the previous process
	default:
		p.previousIncarnation, p.started = p.incarnation, true
	}
	p.dataCentre, p.leaving, p.cutOff, p.lastDigestAt = digest.DataCentre, digest.Leaving, digest.CutOff, now
	p.incarnation, p.sequence = digest.Incarnation, digest.Sequence
	p.version, p.revision, p.servers, p.asOf = digest.Version, digest.Revision, digest.Servers, digest.AsOf
	p.relay = digest.Relay && !digest.Leaving
	p.namesQuestion = digest.NamesQuestion
	return true
}

// RecordAnswer records that a peer answered the question with a sequence.
func (t *Table) RecordAnswer(from netip.Addr, sequence uint64) {
	if p := t.peers[from]; p != nil {
		p.answered = max(p.answered, sequence)
	}
}

// AddCandidates adds addresses from a peer's digest or from the seeds to those that are
// probed, except ownAddress and those that are known already.
func (t *Table) AddCandidates(ownAddress netip.Addr, addresses []netip.Addr) {
	for _, address := range addresses {
		if address == ownAddress || t.peers[address] != nil || t.unconfirmed[address] != nil {
			continue
		}
		t.unconfirmed[address] = &probeRecord{}
	}
}

// NextProbes returns the addresses to probe now, in ascending order, and counts the
// probes. An address that has not answered maxProbes probes is dropped.
func (t *Table) NextProbes(now time.Time) []netip.Addr {
	var addresses []netip.Addr
	for address, entry := range t.unconfirmed {
		if now.Sub(entry.last) < probePeriod {
			continue
		}
		if entry.count >= maxProbes {
			delete(t.unconfirmed, address)
			continue
		}
		entry.count++
		entry.last = now
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses
}

// Expire removes peers that sent no digest for peerTimeout.
func (t *Table) Expire(now time.Time) {
	for address, p := range t.peers {
		if now.Sub(p.lastDigestAt) > peerTimeout {
			delete(t.peers, address)
		}
	}
}

// Members returns the peers in the order of their addresses.
func (t *Table) Members() []*peer {
	all := make([]*peer, 0, len(t.peers))
	for _, p := range t.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int { return a.address.Compare(b.address) })
	return all
}

// LocalState holds the versions of this instance's state.
type LocalState struct {
	DataCentre string
	// Version is the version of the in-force configuration. Revision is the highest store
	// revision seen in the entries of backend servers, Servers the fingerprint of all entries, and AsOf
	// the revision as of which they are complete.
	Version  uint64
	Revision revision.Revision
	Servers  uint64
	AsOf     revision.Revision
	// Relay is set when this instance follows the object store itself.
	Relay bool
}

// position returns the latest revision of the store that the list of servers accounts for.
func (s LocalState) position() revision.Revision { return max(s.Revision, s.AsOf) }

// FetchSources returns the peer from which a newer configuration is best fetched, and the
// one from which the list of backend servers is; nil for none. A relay needs a list
// only when a peer has a change that is later than its own list, because its own watch delivers the rest.
func (t *Table) FetchSources(now time.Time, own LocalState) (configuration, servers *peer) {
	for _, p := range t.peers {
		if now.Sub(p.lastDigestAt) > sourceLifetime || now.Sub(p.fetchFailedAt) < fetchRetryDelay {
			continue
		}
		if p.version > own.Version && !p.configurationAsked && (configuration == nil || t.betterConfigurationSource(p, configuration, own.DataCentre)) {
			configuration = p
		}
		if p.serversAsked || own.Relay && p.revision <= own.position() {
			continue
		}
		if p.servers == own.Servers || p.lastFetch.covers(now, p.servers, own.Servers) || p.position() < own.position() {
			continue
		}
		// Relays have the latest list. Other peers are used while there is no relay,
		// but only every nonRelayFetchSpacing, because their lists also differ for other
		// reasons than missing changes.
		if !p.relay && now.Sub(t.lastNonRelayFetch) < nonRelayFetchSpacing {
			continue
		}
		if servers == nil || betterServersSource(p, servers, own.DataCentre) {
			servers = p
		}
	}
	return configuration, servers
}

// RecordNonRelayFetch records that the servers are fetched from a peer that is no relay.
func (t *Table) RecordNonRelayFetch(now time.Time) { t.lastNonRelayFetch = now }

// Lag returns how long peers have had a newer configuration and newer servers than this
// instance, counted anew from each change of this instance's own; 0 while no peer has.
func (t *Table) Lag(now time.Time, own LocalState, newerConfiguration, moreServers bool) (configuration, servers time.Duration) {
	return t.configuration.update(now, own.Version, newerConfiguration), t.servers.update(now, uint64(own.Revision), moreServers)
}

// localRelayHeadStart is how long an instance waits for a relay of its own data centre before
// it fetches from a remote peer. Relays receive a change within half a second of each
// other, and each list that crosses regions is charged for.
const localRelayHeadStart = 900 * time.Millisecond

// DeferToLocalRelay returns the given source if it is to be asked now. It returns nil when the
// source is remote, the lag is below localRelayHeadStart and a relay of the own data centre is
// alive, which will soon have the same state.
func (t *Table) DeferToLocalRelay(now time.Time, own LocalState, source *peer, currentLag time.Duration) *peer {
	if source == nil || source.dataCentre == own.DataCentre || currentLag >= localRelayHeadStart {
		return source
	}
	for _, p := range t.peers {
		if p.dataCentre == own.DataCentre && p.readsStore(now) {
			return nil
		}
	}
	return source
}

// fetchRetryDelay is how long a peer is not asked after a failed fetch: other instances ask it
// too, and its link may be slow.
const fetchRetryDelay = 700 * time.Millisecond

// betterConfigurationSource reports whether the first peer is the better source of a
// configuration: it has a newer version, or else it is in the own data centre. Ties are broken
// by a hash that differs between instances, so that not all of them ask the same peer.
func (t *Table) betterConfigurationSource(a, b *peer, dataCentre string) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	if local := a.dataCentre == dataCentre; local != (b.dataCentre == dataCentre) {
		return local
	}
	return rendezvous.Weight(t.instance, a.instance) > rendezvous.Weight(t.instance, b.instance)
}

// betterServersSource reports whether the first peer is the better source of the server list:
// it is a relay, or else in the own data centre (the list is long), or else has a later
// list, or else the lower address.
func betterServersSource(a, b *peer, dataCentre string) bool {
	if a.relay != b.relay {
		return a.relay
	}
	if local := a.dataCentre == dataCentre; local != (b.dataCentre == dataCentre) {
		return local
	}
	if a.position() != b.position() {
		return a.position() > b.position()
	}
	return a.address.Less(b.address)
}

// nonRelayFetchSpacing is the minimum time between two fetches of servers from peers that are
// no relays.
const nonRelayFetchSpacing = 700 * time.Millisecond

// sourceLifetime is how long after its last digest a peer is considered reachable for a fetch.
const sourceLifetime = 3 * time.Second

const (
	// relaysPerCentre is the number of relays of a data centre. They are few because calls to
	// the object store are charged for, and more than one because a relay that is
	// cut off from the store may not detect it at once.
	relaysPerCentre = 2
	// relayTimeout is the time without a digest after which a relay is replaced: three digests.
	relayTimeout = 1300 * time.Millisecond
)

// hasRelay reports whether a peer of any data centre is alive and reads the store.
func (t *Table) hasRelay(now time.Time) bool {
	for _, p := range t.peers {
		if p.readsStore(now) {
			return true
		}
	}
	return false
}

// substituteDelay is the time between the starts of two substitutes.
const substituteDelay = 400 * time.Millisecond

// RelayRole returns whether and how this instance has to follow the store. All instances of
// a data centre order themselves by relayRank, and the first relaysPerCentre are relays.
// While none of the instances reports that the store answers, the next ones become substitutes,
// one more after each substituteDelay.
func (t *Table) RelayRole(now time.Time, dataCentre string) discovery.RelayRole {
	ownRank, lowerRanked, storeReached := relayRank(t.instance), 0, false
	for _, p := range t.peers {
		if p.dataCentre != dataCentre || p.leaving || now.Sub(p.lastDigestAt) > relayTimeout {
			continue
		}
		storeReached = storeReached || p.relay
		if relayRank(p.instance) < ownRank {
			lowerRanked++
		}
	}
	if storeReached || t.storeReachedAt.IsZero() {
		t.storeReachedAt = now
	}
	switch {
	case lowerRanked == 0:
		return discovery.Primary
	case lowerRanked < relaysPerCentre:
		return discovery.Backup
	case now.Sub(t.storeReachedAt) >= time.Duration(lowerRanked-relaysPerCentre+1)*substituteDelay:
		return discovery.Substitute
	default:
		return discovery.Passive
	}
}

// Group is the rank of an instance among the instances of its data centre.
type Group struct {
	// Rank is the instance's position by name, from 0, which all instances compute
	// alike. Members is the number of instances of the data centre.
	Rank    int
	Members int
	// Instances is the number of instances in all data centres, and EstateRank the instance's position by name
	// among them, from 0.
	Instances  int
	EstateRank int
}

// Group returns this instance's rank and the numbers of instances, itself included.
func (t *Table) Group(dataCentre string) Group {
	group := Group{Members: 1, Instances: len(t.peers) + 1}
	for _, p := range t.peers {
		if p.instance < t.instance {
			group.EstateRank++
		}
		if p.dataCentre != dataCentre {
			continue
		}
		group.Members++
		if p.instance < t.instance {
			group.Rank++
		}
	}
	return group
}

// relayRank returns the hash by which instances become relays, lowest first.
func relayRank(instance string) uint64 { return xxhash.Sum64String(instance) }
