package placement

import (
	"math/rand/v2"
	"time"
)

// Ledger records the load and the failures of backend servers, as seen by one
// instance, and chooses servers. It is not safe for concurrent use.
type Ledger struct {
	policy   Policy
	ownPlace Place
	random   *rand.Rand
	servers  map[string]*serverRecord
	centres  map[string]*centreFailures
	// peers holds the last report of each peer by its instance.
	peers map[string]peerLoads
}

// NewLedger returns an empty ledger of an instance in the place own.
func NewLedger(policy Policy, own Place, random *rand.Rand) *Ledger {
	return &Ledger{policy: policy, ownPlace: own, random: random, servers: make(map[string]*serverRecord), centres: make(map[string]*centreFailures), peers: make(map[string]peerLoads)}
}

// Forget removes all records of a server that ended or restarted.
func (l *Ledger) Forget(id string) {
	delete(l.servers, id)
	for _, r := range l.peers {
		delete(r.loads, id)
	}
}

// Loads calls visit with the own load of each server that has any.
func (l *Ledger) Loads(visit func(id string, load Load)) {
	for id, server := range l.servers {
		if server.ownLoad != (Load{}) {
			visit(id, server.ownLoad)
		}
	}
}

// SetPeerLoads replaces the loads that a peer causes at servers.
func (l *Ledger) SetPeerLoads(now time.Time, instance string, loads map[string]Load) {
	l.removePeerLoads(instance)
	for id, load := range loads {
		l.record(id).peerLoad = l.record(id).peerLoad.plus(load)
	}
	l.peers[instance] = peerLoads{loads: loads, receivedAt: now}
}

// removePeerLoads subtracts and removes the last report of a peer.
func (l *Ledger) removePeerLoads(instance string) {
	for id, load := range l.peers[instance].loads {
		if server := l.servers[id]; server != nil {
			server.peerLoad = server.peerLoad.plus(load.Negative())
		}
	}
	delete(l.peers, instance)
}

// ExpirePeerLoads removes the reports of peers that are older than a lifetime.
func (l *Ledger) ExpirePeerLoads(now time.Time, lifetime time.Duration) {
	for instance, r := range l.peers {
		if now.Sub(r.receivedAt) > lifetime {
			l.removePeerLoads(instance)
		}
	}
}

// UnreachableAtPeer records that a peer could not reach a server at a time, unless
// the server has sent something since.
func (l *Ledger) UnreachableAtPeer(at time.Time, id, dataCentre string, down bool) {
	server := l.record(id)
	if server.lastReceived.After(at) {
		return
	}
	wait := l.policy.MinAvoidTime
	if down {
		wait = l.policy.DownAvoidTime
	}
	if until := at.Add(wait); until.After(server.avoidUntil) {
		server.avoidUntil = until
	}
	l.centre(dataCentre).record(at, id, l.policy.CentreWindow)
}

// Add changes the load that this instance causes at a server. The load never
// becomes negative: requests that started before the records of a server were
// removed may end afterwards.
func (l *Ledger) Add(id string, change Load) {
	server := l.record(id)
	server.ownLoad = server.ownLoad.plus(change).nonNegative()
}

// Received records that a server sent something.
func (l *Ledger) Received(now time.Time, id string) {
	l.record(id).received(now)
}

// LastReceived returns when a server last sent something; zero when it never did.
func (l *Ledger) LastReceived(id string) time.Time {
	if server := l.servers[id]; server != nil {
		return server.lastReceived
	}
	return time.Time{}
}

// Ran records that a server certainly ran at a time: it answered a request that was sent then. Data that arrives proves
// less, because it may have waited in the network or in the buffers of this machine.
func (l *Ledger) Ran(at time.Time, id string) {
	server := l.record(id)
	if at.After(server.ranAt) {
		server.ranAt = at
	}
}

// LastRan returns the latest time at which a server certainly ran; zero when none is known.
func (l *Ledger) LastRan(id string) time.Time {
	if server := l.servers[id]; server != nil {
		return server.ranAt
	}
	return time.Time{}
}

// Unreachable records that a server could not be reached or stalled, and returns
// the time until which it is avoided. down means that nothing listens at its
// address; it is then avoided for longer.
func (l *Ledger) Unreachable(now time.Time, id, dataCentre string, down bool) time.Time {
	server := l.record(id)
	wait := min(l.policy.MinAvoidTime<<min(server.failures, 8), l.policy.MaxAvoidTime)
	if down {
		wait = l.policy.DownAvoidTime
	}
	server.failures++
	server.avoidUntil = now.Add(wait)
	l.centre(dataCentre).record(now, id, l.policy.CentreWindow)
	return server.avoidUntil
}

// Refuses records that a server wants no request of this instance until a time. Until then it is
// never chosen; an earlier statement with a later end stays.
func (l *Ledger) Refuses(until time.Time, id string) {
	server := l.record(id)
	if until.After(server.refusesUntil) {
		server.refusesUntil = until
	}
}

// Refusing returns for how long a server wants no request of this instance, 0 if it takes them.
func (l *Ledger) Refusing(now time.Time, id string) time.Duration {
	if server := l.servers[id]; server != nil {
		return max(0, server.refusesUntil.Sub(now))
	}
	return 0
}

// Avoided reports whether a server is avoided now: because it failed itself, or
// because several others of its data centre failed together and it has sent
// nothing since.
func (l *Ledger) Avoided(now time.Time, id, dataCentre string) bool {
	server := l.servers[id]
	if server != nil && now.Before(server.avoidUntil) {
		return true
	}
	c := l.centres[dataCentre]
	if c == nil {
		return false
	}
	since, suspected := c.suspected(now, l.policy)
	return suspected && (server == nil || server.lastReceived.Before(since))
}

// anyCentreSuspected reports whether any data centre is suspected to have failed
// within the window.
func (l *Ledger) anyCentreSuspected(now time.Time) bool {
	for _, c := range l.centres {
		if _, suspected := c.suspected(now, l.policy); suspected {
			return true
		}
	}
	return false
}

func (l *Ledger) centre(name string) *centreFailures {
	c := l.centres[name]
	if c == nil {
		c = &centreFailures{lastFailures: make(map[string]time.Time)}
		l.centres[name] = c
	}
	return c
}

func (l *Ledger) record(id string) *serverRecord {
	server := l.servers[id]
	if server == nil {
		server = &serverRecord{}
		l.servers[id] = server
	}
	return server
}

// LoadAt returns the load that this instance causes at a server, and that of all instances as far as known.
func (l *Ledger) LoadAt(id string) (own, all Load) {
	if server := l.servers[id]; server != nil {
		return server.ownLoad, server.load()
	}
	return Load{}, Load{}
}

// load returns the load of a server by all instances, zero without records.
func (l *Ledger) load(id string) Load {
	if server := l.servers[id]; server != nil {
		return server.load()
	}
	return Load{}
}

// cheapest returns the position of the candidate with the lowest cost, and false when
// there is none. It returns an avoided server only when all are avoided, and never one that
// refuses the requests of this instance.
func (l *Ledger) cheapest(now time.Time, candidates []Candidate, cost func(*Candidate) time.Duration) (best int, found bool) {
	bestCost, bestAvoided := time.Duration(0), false
	for i := range candidates {
		if l.Refusing(now, candidates[i].ID) > 0 {
			continue
		}
		avoided := l.Avoided(now, candidates[i].ID, candidates[i].Place.DataCentre)
		if found && avoided && !bestAvoided {
			continue
		}
		candidateCost := cost(&candidates[i])
		if !found || (bestAvoided && !avoided) || candidateCost < bestCost {
			best, bestCost, bestAvoided, found = i, candidateCost, avoided, true
		}
	}
	return best, found
}

// distanceCost returns the cost of a place's distance.
func (l *Ledger) distanceCost(place Place, near, far time.Duration) time.Duration {
	switch {
	case place.DataCentre == l.ownPlace.DataCentre:
		return 0
	case place.Region == l.ownPlace.Region:
		return near
	default:
		return far
	}
}

// addJitter adds a random part to a cost.
func (l *Ledger) addJitter(cost time.Duration) time.Duration {
	return cost + time.Duration(l.policy.Jitter*l.random.Float64()*float64(cost+10*time.Millisecond))
}
