package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"

	"github.com/cespare/xxhash/v2"
)

const (
	// forgetAfter is the time without a digest after which a peer is removed. It is
	// longer than the network partitions that instances are expected to survive,
	// because limits stay shared with the peers during a partition.
	forgetAfter = 30 * time.Second
	// greetPeriod is the time between two greetings to an address that has not answered.
	greetPeriod = time.Second
	// greetLimit is the maximum number of greetings to one address.
	greetLimit = 20
)

// Table holds the peers of an instance and decides from which of them newer state is
// fetched. It is deterministic and not safe for concurrent use.
type Table struct {
	own     string
	members map[netip.Addr]*member
	// greeted holds addresses of possible peers that have not answered yet.
	greeted map[netip.Addr]*greeting
	// helped is when the servers were last fetched from a peer that is no relay.
	helped time.Time
	// configuration and servers measure how long peers have had newer ones.
	configuration lag
	servers       lag
	// reached is when a relay of this data centre last reported that the store
	// answers. Before the first call of Duty it is zero.
	reached time.Time
}

// greeting records the greetings sent to an address.
type greeting struct {
	count int
	last  time.Time
}

// NewTable returns a table without peers that greets the addresses of the seeds.
func NewTable(own string, ownAddress netip.Addr, seeds []netip.Addr) *Table {
	t := &Table{own: own, members: make(map[netip.Addr]*member), greeted: make(map[netip.Addr]*greeting)}
	for _, seed := range seeds {
		if seed != ownAddress {
			t.greeted[seed] = &greeting{}
		}
	}
	return t
}

// Hear records the state that a digest gives for its sender, and reports whether it
// did. Digests of this instance, digests that aren't newer than the sender's last one,
// and late digests of the sender's previous process are discarded.
func (t *Table) Hear(now time.Time, from netip.Addr, digest *Digest) bool {
	if digest.Instance == t.own {
		return false
	}
	known := t.members[from]
	if known == nil || known.instance != digest.Instance {
		known = &member{instance: digest.Instance, address: from}
		t.members[from] = known
	}
	delete(t.greeted, from)
	switch digest.Incarnation {
	case known.incarnation:
		if digest.Sequence <= known.sequence {
			return false
		}
	case known.earlier:
		return false // a late digest of the previous process
	default:
		known.earlier = known.incarnation
	}
	known.dataCentre, known.leaving, known.heard = digest.DataCentre, digest.Leaving, now
	known.incarnation, known.sequence = digest.Incarnation, digest.Sequence
	known.version, known.revision, known.servers = digest.Version, digest.Revision, digest.Servers
	known.relay = digest.Relay && !digest.Leaving
	return true
}

// Named adds addresses from a peer's digest or from the seeds to those that are
// greeted, except own and those that are known already.
func (t *Table) Named(own netip.Addr, addresses []netip.Addr) {
	for _, address := range addresses {
		if address == own || t.members[address] != nil || t.greeted[address] != nil {
			continue
		}
		t.greeted[address] = &greeting{}
	}
}

// Greet returns the addresses to greet now, in ascending order, and counts the
// greetings. An address that has not answered greetLimit greetings is dropped.
func (t *Table) Greet(now time.Time) []netip.Addr {
	var due []netip.Addr
	for address, entry := range t.greeted {
		if now.Sub(entry.last) < greetPeriod {
			continue
		}
		if entry.count >= greetLimit {
			delete(t.greeted, address)
			continue
		}
		entry.count++
		entry.last = now
		due = append(due, address)
	}
	slices.SortFunc(due, netip.Addr.Compare)
	return due
}

// Expire removes peers that sent no digest for forgetAfter.
func (t *Table) Expire(now time.Time) {
	for address, known := range t.members {
		if now.Sub(known.heard) > forgetAfter {
			delete(t.members, address)
		}
	}
}

// Members returns the peers in the order of their addresses.
func (t *Table) Members() []*member {
	all := make([]*member, 0, len(t.members))
	for _, known := range t.members {
		all = append(all, known)
	}
	slices.SortFunc(all, func(a, b *member) int { return a.address.Compare(b.address) })
	return all
}

// Own holds the versions of this instance's state.
type Own struct {
	DataCentre string
	// Version is the version of the in-force configuration. Revision is the highest store
	// revision seen in the entries of backend servers, Servers the fingerprint of all entries.
	Version  uint64
	Revision uint64
	Servers  uint64
	// Relay is set when this instance follows the object store itself.
	Relay bool
}

// Ahead returns the peer from which a newer configuration is best fetched, and the
// one from which the list of backend servers is; nil for none. A relay needs a list
// only when a peer has a higher revision, because its own watch delivers the rest.
func (t *Table) Ahead(now time.Time, own Own) (configuration, servers *member) {
	for _, known := range t.members {
		if now.Sub(known.heard) > aheadLifetime || now.Sub(known.failed) < askAgain {
			continue
		}
		if known.version > own.Version && (configuration == nil || t.newer(known, configuration, own.DataCentre)) {
			configuration = known
		}
		if own.Relay && known.revision <= own.Revision {
			continue
		}
		if known.servers == own.Servers || known.servers == known.fetched || known.revision < own.Revision {
			continue
		}
		// Relays have the latest list. Other peers are used while there is no relay,
		// but only every helpSpacing, because their lists also differ for other
		// reasons than missing changes.
		if !known.relay && now.Sub(t.helped) < helpSpacing {
			continue
		}
		if servers == nil || better(known, servers, own.DataCentre) {
			servers = known
		}
	}
	return configuration, servers
}

// Helped records that the servers are fetched from a peer that is no relay.
func (t *Table) Helped(now time.Time) { t.helped = now }

// Behind returns how long peers have had a newer configuration and newer servers than this
// instance, counted anew from each change of this instance's own; 0 while no peer has.
func (t *Table) Behind(now time.Time, own Own, newerConfiguration, moreServers bool) (configuration, servers time.Duration) {
	return t.configuration.behind(now, own.Version, newerConfiguration), t.servers.behind(now, own.Revision, moreServers)
}

// farPatience is how long an instance waits for a relay of its own data centre before
// it fetches from a remote peer. Relays receive a change within half a second of each
// other, and each list that crosses regions is charged for.
const farPatience = 900 * time.Millisecond

// Patient returns the given source if it is to be asked now. It returns nil when the
// source is remote, the lag is below farPatience and a relay of the own data centre is
// alive, which will soon have the same state.
func (t *Table) Patient(now time.Time, own Own, asked *member, behind time.Duration) *member {
	if asked == nil || asked.dataCentre == own.DataCentre || behind >= farPatience {
		return asked
	}
	for _, known := range t.members {
		if known.relay && known.dataCentre == own.DataCentre && now.Sub(known.heard) <= relaySilence {
			return nil
		}
	}
	return asked
}

// askAgain is how long a peer is not asked after a failed fetch: other instances ask it
// too, and its link may be slow.
const askAgain = 700 * time.Millisecond

// newer reports whether the first peer is the better source of a configuration: it has a
// newer version, or else it is in the own data centre. Ties are broken by a hash that
// differs between instances, so that not all of them ask the same peer.
func (t *Table) newer(one, other *member, dataCentre string) bool {
	if one.version != other.version {
		return one.version > other.version
	}
	if near := one.dataCentre == dataCentre; near != (other.dataCentre == dataCentre) {
		return near
	}
	return rendezvous.Weight(t.own, one.instance) > rendezvous.Weight(t.own, other.instance)
}

// better reports whether the first peer is the better source of the server list: it is
// a relay, or else in the own data centre (the list is long), or else has a higher
// revision, or else the lower address.
func better(one, other *member, dataCentre string) bool {
	if one.relay != other.relay {
		return one.relay
	}
	if near := one.dataCentre == dataCentre; near != (other.dataCentre == dataCentre) {
		return near
	}
	if one.revision != other.revision {
		return one.revision > other.revision
	}
	return one.address.Less(other.address)
}

// helpSpacing is the minimum time between two fetches of servers from peers that are no relays.
const helpSpacing = 700 * time.Millisecond

// aheadLifetime is how long after its last digest a peer is considered reachable for a fetch.
const aheadLifetime = 3 * time.Second

const (
	// relaysPerCentre is the number of relays of a data centre. They are few because calls to
	// the object store are charged for, and more than one because a relay that is
	// cut off from the store may not detect it at once.
	relaysPerCentre = 2
	// relaySilence is the time without a digest after which a relay is replaced: three digests.
	relaySilence = 1300 * time.Millisecond
)

// standInDelay is the time between the starts of two instances that stand in.
const standInDelay = 400 * time.Millisecond

// Duty returns whether and how this instance has to follow the store. All instances of
// a data centre order themselves by relayRank, and the first relaysPerCentre are relays.
// While none of the instances reports that the store answers, the next ones stand in,
// one more after each standInDelay.
func (t *Table) Duty(now time.Time, dataCentre string) discovery.Duty {
	own, before, reached := relayRank(t.own), 0, false
	for _, known := range t.members {
		if known.dataCentre != dataCentre || known.leaving || now.Sub(known.heard) > relaySilence {
			continue
		}
		reached = reached || known.relay
		if relayRank(known.instance) < own {
			before++
		}
	}
	if reached || t.reached.IsZero() {
		t.reached = now
	}
	switch {
	case before == 0:
		return discovery.Follow
	case before < relaysPerCentre:
		return discovery.Backup
	case now.Sub(t.reached) >= time.Duration(before-relaysPerCentre+1)*standInDelay:
		return discovery.StandIn
	default:
		return discovery.Listen
	}
}

// Group is the rank of an instance among the instances of its data centre.
type Group struct {
	// Rank is the instance's position by name, from 0, which all instances compute
	// alike. Members is the number of instances of the data centre.
	Rank    int
	Members int
	// Instances is the number of instances in all data centres.
	Instances int
}

// Group returns this instance's rank and the numbers of instances, itself included.
func (t *Table) Group(dataCentre string) Group {
	group := Group{Members: 1, Instances: len(t.members) + 1}
	for _, known := range t.members {
		if known.dataCentre != dataCentre {
			continue
		}
		group.Members++
		if known.instance < t.own {
			group.Rank++
		}
	}
	return group
}

// relayRank returns the hash by which instances become relays, lowest first.
func relayRank(instance string) uint64 { return xxhash.Sum64String(instance) }
