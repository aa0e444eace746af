package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// bridgeKey is the rendezvous key of the bridges of a data centre.
const bridgeKey = "bridge/"

// exchange probes the targets of one period.
func (t *Table) exchange(now time.Time, out *Output) {
	t.exchanges++
	t.summarize(now)
	for _, peer := range t.targets() {
		t.probe(peer, now, now, out)
	}
}

// targets returns the peers to probe in this period, Config.FanOut at most.
func (t *Table) targets() []settings.Peer {
	var picked []settings.Peer
	if t.exchanges%uint64(t.config.RejoinProbePeriods) == 0 || len(t.liveNames(t.self.Peer.DataCentre)) == 1 || t.unknownListed() {
		picked = appendPeer(picked, t.nextHealed())
	}
	if t.isBridge() {
		picked = appendPeer(picked, t.foreignTarget())
	}
	for len(picked) < t.config.FanOut {
		next := t.nextQueued()
		if next.Instance == "" || slices.Contains(picked, next) {
			break
		}
		picked = append(picked, next)
	}
	if len(picked) < t.config.FanOut {
		picked = appendPeer(picked, t.nextHealed())
	}
	return picked[:min(len(picked), t.config.FanOut)]
}

// appendPeer adds a named peer that is not in the list.
func appendPeer(list []settings.Peer, peer settings.Peer) []settings.Peer {
	if peer.Instance == "" || slices.Contains(list, peer) {
		return list
	}
	return append(list, peer)
}

// nextQueued returns the next instance of the own data centre in a shuffled
// round, so that each is probed within a bounded time.
func (t *Table) nextQueued() settings.Peer {
	for range 2 {
		for len(t.queue) > 0 {
			name := t.queue[0]
			t.queue = t.queue[1:]
			entry, ok := t.members[name]
			if ok && entry.record.Health != Dead {
				return entry.record.Peer
			}
		}
		t.refillQueue()
	}
	return settings.Peer{}
}

func (t *Table) refillQueue() {
	for _, name := range t.memberNames() {
		entry := t.members[name]
		if entry.record.Peer.DataCentre == t.self.Peer.DataCentre && entry.record.Health != Dead {
			t.queue = append(t.queue, name)
		}
	}
	shuffle(t.random, t.queue)
}

// nextHealed returns the next peer that is not known to be up: a seed, a
// listed instance or a dead one. Probing them joins an instance and heals a
// partition. Peers of other data centres are the bridges' job, unless the
// instance knows nobody.
func (t *Table) nextHealed() settings.Peer {
	if len(t.healQueue) == 0 {
		t.refillHealQueue()
	}
	for len(t.healQueue) > 0 {
		peer := t.healQueue[0]
		t.healQueue = t.healQueue[1:]
		entry, ok := t.members[peer.Instance]
		if !ok || entry.record.Health == Dead {
			return peer
		}
	}
	return settings.Peer{}
}

// unknownListed reports whether the platform lists an instance of this data
// centre that is not known yet.
func (t *Table) unknownListed() bool {
	for _, peer := range t.proposed {
		if _, known := t.members[peer.Instance]; !known && peer.DataCentre == t.self.Peer.DataCentre {
			return true
		}
	}
	return false
}

func (t *Table) refillHealQueue() {
	alone := len(t.members) == 0
	candidates := make(map[string]settings.Peer)
	consider := func(peer settings.Peer) {
		if peer.Instance == "" || peer.Instance == t.self.Peer.Instance || peer.Gossip == "" {
			return
		}
		if peer.DataCentre == t.self.Peer.DataCentre || alone || t.isBridge() {
			candidates[peer.Instance] = peer
		}
	}
	for _, peer := range t.config.Seeds {
		consider(peer)
	}
	for _, peer := range t.former {
		consider(peer)
	}
	for _, peer := range t.proposed {
		consider(peer)
	}
	for _, name := range t.memberNames() {
		if entry := t.members[name]; entry.record.Health == Dead {
			consider(entry.record.Peer)
		}
	}
	names := make([]string, 0, len(candidates))
	for name := range candidates {
		names = append(names, name)
	}
	slices.Sort(names)
	shuffle(t.random, names)
	for _, name := range names {
		t.healQueue = append(t.healQueue, candidates[name])
	}
}

// isBridge reports whether this instance exchanges with other data centres.
func (t *Table) isBridge() bool {
	names := t.liveNames(t.self.Peer.DataCentre)
	return slices.Contains(rendezvous.Top(bridgeKey+t.self.Peer.DataCentre, names, t.config.Bridges), t.self.Peer.Instance)
}

// foreignTarget returns a random live instance of a random other data centre.
func (t *Table) foreignTarget() settings.Peer {
	byCentre := make(map[string][]string)
	var centres []string
	for _, name := range t.memberNames() {
		entry := t.members[name]
		centre := entry.record.Peer.DataCentre
		if centre == t.self.Peer.DataCentre || entry.record.Health == Dead {
			continue
		}
		if len(byCentre[centre]) == 0 {
			centres = append(centres, centre)
		}
		byCentre[centre] = append(byCentre[centre], name)
	}
	if len(centres) == 0 {
		return settings.Peer{}
	}
	slices.Sort(centres)
	names := byCentre[centres[t.random.IntN(len(centres))]]
	return t.members[names[t.random.IntN(len(names))]].record.Peer
}

// liveNames returns the live instances of a data centre, this one included.
func (t *Table) liveNames(centre string) []string {
	own := t.self.Peer.Instance
	added := centre != t.self.Peer.DataCentre
	var names []string
	for _, name := range t.memberNames() {
		if !added && own < name {
			names = append(names, own)
			added = true
		}
		entry := t.members[name]
		if entry.record.Peer.DataCentre == centre && entry.record.Live() {
			names = append(names, name)
		}
	}
	if !added {
		names = append(names, own)
	}
	return names
}

func shuffle(random *rand.Rand, names []string) {
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
