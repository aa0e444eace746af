package placement

import (
	"math/rand/v2"
	"time"
)

// Ledger is one instance's knowledge of the load of backend servers. It is not
// safe for concurrent use.
type Ledger struct {
	policy  Policy
	own     Place
	random  *rand.Rand
	servers map[string]*record
	centres map[string]*centre
	reports map[string]report
}

// NewLedger returns an empty ledger of an instance.
func NewLedger(policy Policy, own Place, random *rand.Rand) *Ledger {
	return &Ledger{policy: policy, own: own, random: random, servers: make(map[string]*record), centres: make(map[string]*centre), reports: make(map[string]report)}
}

// Forget drops what is known of a server that ended or started again.
func (l *Ledger) Forget(id string) {
	delete(l.servers, id)
	for _, stated := range l.reports {
		delete(stated.loads, id)
	}
}

// Loads calls a function with the own load of each server that has any.
func (l *Ledger) Loads(visit func(id string, load Load)) {
	for id, known := range l.servers {
		if known.own != (Load{}) {
			visit(id, known.own)
		}
	}
}

// Report replaces what another instance has sent to servers.
func (l *Ledger) SetPeerLoads(now time.Time, instance string, loads map[string]Load) {
	l.withdraw(instance)
	for id, load := range loads {
		l.record(id).others = l.record(id).others.plus(load)
	}
	l.reports[instance] = report{loads: loads, at: now}
}

// withdraw takes the last report of an instance back.
func (l *Ledger) withdraw(instance string) {
	for id, load := range l.reports[instance].loads {
		if known := l.servers[id]; known != nil {
			known.others = known.others.plus(load.Negative())
		}
	}
	delete(l.reports, instance)
}

// Expire drops reports that are older than a lifetime.
func (l *Ledger) ExpirePeerLoads(now time.Time, lifetime time.Duration) {
	for instance, stated := range l.reports {
		if now.Sub(stated.at) > lifetime {
			l.withdraw(instance)
		}
	}
}

// LostElsewhere notes that another instance lost a server at a time, unless the
// server was heard since.
func (l *Ledger) UnreachableAtPeer(at time.Time, id, dataCentre string, down bool) {
	known := l.record(id)
	if known.heard.After(at) {
		return
	}
	wait := l.policy.MinAvoidTime
	if down {
		wait = l.policy.DownAvoidTime
	}
	if until := at.Add(wait); until.After(known.avoidUntil) {
		known.avoidUntil = until
	}
	l.centre(dataCentre).failed(at, id, l.policy.CentreWindow)
}

// Add changes the own load of a server. What was begun before a server was
// forgotten ends after it: the load never becomes negative.
func (l *Ledger) Add(id string, change Load) {
	known := l.record(id)
	known.own = known.own.plus(change).atLeastNone()
}

// Heard notes that a server sent something.
func (l *Ledger) Received(now time.Time, id string) {
	l.record(id).heardAt(now)
}

// LastHeard returns when a server last sent something; zero when it never did.
func (l *Ledger) LastReceived(id string) time.Time {
	if known := l.servers[id]; known != nil {
		return known.heard
	}
	return time.Time{}
}

// Unreachable notes that a server could not be reached or fell silent, and
// returns until when it is avoided. down says that nothing listens at its
// address: it is avoided for longer.
func (l *Ledger) Unreachable(now time.Time, id, dataCentre string, down bool) time.Time {
	known := l.record(id)
	wait := min(l.policy.MinAvoidTime<<min(known.failures, 8), l.policy.MaxAvoidTime)
	if down {
		wait = l.policy.DownAvoidTime
	}
	known.failures++
	known.avoidUntil = now.Add(wait)
	l.centre(dataCentre).failed(now, id, l.policy.CentreWindow)
	return known.avoidUntil
}

// Avoided reports whether a server is avoided now: because of itself, or
// because others of its data centre failed together and it was not heard since.
func (l *Ledger) Avoided(now time.Time, id, dataCentre string) bool {
	known := l.servers[id]
	if known != nil && now.Before(known.avoidUntil) {
		return true
	}
	lost := l.centres[dataCentre]
	if lost == nil {
		return false
	}
	since, suspected := lost.suspected(now, l.policy)
	return suspected && (known == nil || known.heard.Before(since))
}

// loss reports whether a data centre was lost a moment ago.
func (l *Ledger) loss(now time.Time) bool {
	for _, known := range l.centres {
		if _, suspected := known.suspected(now, l.policy); suspected {
			return true
		}
	}
	return false
}

func (l *Ledger) centre(name string) *centre {
	known := l.centres[name]
	if known == nil {
		known = &centre{failures: make(map[string]time.Time)}
		l.centres[name] = known
	}
	return known
}

func (l *Ledger) record(id string) *record {
	known := l.servers[id]
	if known == nil {
		known = &record{}
		l.servers[id] = known
	}
	return known
}

// load returns the known load of a server.
func (l *Ledger) load(id string) Load {
	if known := l.servers[id]; known != nil {
		return known.load()
	}
	return Load{}
}

// cheapest returns the position of the candidate with the lowest cost, and false
// when there is no candidate. Avoided servers are only chosen when all are
// avoided.
func (l *Ledger) cheapest(now time.Time, candidates []Candidate, cost func(*Candidate) time.Duration) (best int, found bool) {
	bestCost, bestAvoided := time.Duration(0), false
	for i := range candidates {
		avoided := l.Avoided(now, candidates[i].ID, candidates[i].Place.DataCentre)
		if found && avoided && !bestAvoided {
			continue
		}
		price := cost(&candidates[i])
		if !found || (bestAvoided && !avoided) || price < bestCost {
			best, bestCost, bestAvoided, found = i, price, avoided, true
		}
	}
	return best, found
}

// distance returns the cost of a place's distance.
func (l *Ledger) distance(place Place, near, far time.Duration) time.Duration {
	switch {
	case place.DataCentre == l.own.DataCentre:
		return 0
	case place.Region == l.own.Region:
		return near
	default:
		return far
	}
}

// spread changes a cost at random.
func (l *Ledger) spread(cost time.Duration) time.Duration {
	return cost + time.Duration(l.policy.Jitter*l.random.Float64()*float64(cost+10*time.Millisecond))
}
