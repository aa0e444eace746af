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
	// forgetAfter is the silence after which an instance is forgotten: longer
	// than a cut that instances are expected to live through, because they
	// share bounds meanwhile.
	forgetAfter = 30 * time.Second
	// greetPeriod is the time between greetings to an address that has not
	// answered.
	greetPeriod = time.Second
	// greetLimit bounds the greetings to one address.
	greetLimit = 20
)

// Table holds the known instances. It is deterministic and not safe for
// concurrent use.
type Table struct {
	own     string
	members map[netip.Addr]*member
	// greeted holds addresses that were named and have not answered.
	greeted map[netip.Addr]*greeting
	// helped is when the servers were last read from an instance that does not
	// reach the store.
	helped time.Time
	// configuration and servers tell how long others have known more of them.
	configuration lag
	servers       lag
	// reached is when a relay of the own data centre last reached the store.
	reached time.Time
}

// greeting counts the greetings to an address.
type greeting struct {
	count int
	last  time.Time
}

// NewTable returns a table that knows the addresses of the seeds.
func NewTable(own string, ownAddress netip.Addr, seeds []netip.Addr) *Table {
	t := &Table{own: own, members: make(map[netip.Addr]*member), greeted: make(map[netip.Addr]*greeting)}
	for _, seed := range seeds {
		if seed != ownAddress {
			t.greeted[seed] = &greeting{}
		}
	}
	return t
}

// Hear takes over what a digest says about its sender and reports whether it is
// news; an older digest than the last is not.
func (t *Table) Record(now time.Time, from netip.Addr, digest *Digest) bool {
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
		return false // a late digest of the process before
	default:
		known.earlier = known.incarnation
	}
	known.dataCentre, known.leaving, known.heard = digest.DataCentre, digest.Leaving, now
	known.incarnation, known.sequence = digest.Incarnation, digest.Sequence
	known.version, known.revision, known.servers = digest.Version, digest.Revision, digest.Servers
	known.relay = digest.Relay && !digest.Leaving
	return true
}

// Named notes addresses that another instance named.
func (t *Table) AddCandidates(own netip.Addr, addresses []netip.Addr) {
	for _, address := range addresses {
		if address == own || t.members[address] != nil || t.greeted[address] != nil {
			continue
		}
		t.greeted[address] = &greeting{}
	}
}

// Greet returns the addresses that are to be greeted now.
func (t *Table) NextProbes(now time.Time) []netip.Addr {
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

// Expire forgets instances that were silent for long.
func (t *Table) Expire(now time.Time) {
	for address, known := range t.members {
		if now.Sub(known.heard) > forgetAfter {
			delete(t.members, address)
		}
	}
}

// Members returns the known instances in the order of their addresses.
func (t *Table) Members() []*member {
	all := make([]*member, 0, len(t.members))
	for _, known := range t.members {
		all = append(all, known)
	}
	slices.SortFunc(all, func(a, b *member) int { return a.address.Compare(b.address) })
	return all
}

// Own is what this instance knows.
type LocalState struct {
	DataCentre string
	// Version is the configuration in force, Revision that of the newest known
	// entry of a backend server, Servers the fingerprint of all.
	Version  uint64
	Revision uint64
	Servers  uint64
	// Relay is set when this instance follows the object store itself.
	Relay bool
}

// Ahead returns an instance that has a newer configuration, and one whose list
// of backend servers is needed; nil for none. An instance that follows the
// store itself needs a list only when its watch hears less than others do.
func (t *Table) FetchSources(now time.Time, own LocalState) (configuration, servers *member) {
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
		// A relay is never behind; others help while there is none, now and then
		// because their lists differ for other reasons too.
		if !known.relay && now.Sub(t.helped) < helpSpacing {
			continue
		}
		if servers == nil || better(known, servers, own.DataCentre) {
			servers = known
		}
	}
	return configuration, servers
}

// Helped notes that the servers are read from an instance that does not reach
// the store.
func (t *Table) RecordNonRelayFetch(now time.Time) { t.helped = now }

// Behind returns for how long others have known a newer configuration and more of
// the servers than this instance, without anything new coming to it; 0 while they
// do not.
func (t *Table) Lag(now time.Time, own LocalState, newerConfiguration, moreServers bool) (configuration, servers time.Duration) {
	return t.configuration.behind(now, own.Version, newerConfiguration), t.servers.behind(now, own.Revision, moreServers)
}

// farPatience is how long an instance lets a relay of its own data centre have the
// first word on what a far one knows already: relays hear of a change within half a
// second of each other, and each list that crosses regions has a price.
const farPatience = 900 * time.Millisecond

// Patient returns the instance that is to be asked now, or nil when it is far and a
// relay of the own data centre will know the same in a moment.
func (t *Table) DeferToLocalRelay(now time.Time, own LocalState, asked *member, behind time.Duration) *member {
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

// askAgain is how long an instance that did not answer is left alone while others can
// be asked: others ask it too, over a link that may be slow.
const askAgain = 700 * time.Millisecond

// newer reports whether the configuration is rather read from one instance than from
// another: from the one that has the newer, then from one of the own data centre. Among
// equal ones each instance prefers another, so that not all ask the same.
func (t *Table) newer(one, other *member, dataCentre string) bool {
	if one.version != other.version {
		return one.version > other.version
	}
	if near := one.dataCentre == dataCentre; near != (other.dataCentre == dataCentre) {
		return near
	}
	return rendezvous.Weight(t.own, one.instance) > rendezvous.Weight(t.own, other.instance)
}

// better reports whether the servers are rather read from one instance than from
// another: from a relay, then from one of the own data centre, because the list
// is long, then from the one that knows most, then from the lower address.
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

// helpSpacing is the time between two reads of the servers from an instance
// that does not reach the store either.
const helpSpacing = 700 * time.Millisecond

// aheadLifetime is how long a digest counts as a sign that its sender can be
// asked.
const aheadLifetime = 3 * time.Second

const (
	// relaysPerCentre is the number of instances of a data centre that follow
	// the object store for the others: calls to it have a price, and one that
	// is cut off may not notice at once.
	relaysPerCentre = 2
	// relaySilence is the silence after which a relay is replaced: three
	// digests of a relay.
	relaySilence = 1300 * time.Millisecond
)

// standInDelay is the time between the turns of two instances that stand in.
const standInDelay = 400 * time.Millisecond

// Duty returns the duty of this instance. All instances of a data centre agree
// on an order: the first relaysPerCentre follow the store. While none of them
// says that the store answers, the next ones stand in, one after the other.
func (t *Table) RelayRole(now time.Time, dataCentre string) discovery.RelayRole {
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
		return discovery.Primary
	case before < relaysPerCentre:
		return discovery.Backup
	case now.Sub(t.reached) >= time.Duration(before-relaysPerCentre+1)*standInDelay:
		return discovery.Substitute
	default:
		return discovery.Passive
	}
}

// Group is the place of an instance among those of its data centre.
type Group struct {
	// Rank is its position in an order that all agree on, from 0, and Members
	// the number of instances of the data centre.
	Rank    int
	Members int
	// Instances is the number of all instances.
	Instances int
}

// Group returns the own place.
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

// relayRank orders instances.
func relayRank(instance string) uint64 { return xxhash.Sum64String(instance) }
