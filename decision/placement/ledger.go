package placement

import (
	"math/rand/v2"
	"time"
)

// Ledger records the load and the failures of backend servers as one instance
// sees them, and chooses servers by these records. It is not safe for concurrent
// use.
type Ledger struct {
	policy  Policy
	own     Place
	random  *rand.Rand
	servers map[string]*record
	centres map[string]*centre
	reports map[string]report
}

// NewLedger returns an empty ledger of an instance in the place own.
func NewLedger(policy Policy, own Place, random *rand.Rand) *Ledger {
	return &Ledger{policy: policy, own: own, random: random, servers: make(map[string]*record), centres: make(map[string]*centre), reports: make(map[string]report)}
}

// Forget removes all records of a server that ended or restarted.
func (l *Ledger) Forget(id string) {
	delete(l.servers, id)
	for _, stated := range l.reports {
		delete(stated.loads, id)
	}
}

// Loads calls visit for each server with requests of this instance, with the load
// that they cause.
func (l *Ledger) Loads(visit func(id string, load Load)) {
	for id, known := range l.servers {
		if known.own != (Load{}) {
			visit(id, known.own)
		}
	}
}

// Report replaces the loads that a peer causes at servers.
func (l *Ledger) Report(now time.Time, instance string, loads map[string]Load) {
	l.withdraw(instance)
	for id, load := range loads {
		l.record(id).others = l.record(id).others.plus(load)
	}
	l.reports[instance] = report{loads: loads, at: now}
}

// withdraw subtracts and removes the last report of a peer.
func (l *Ledger) withdraw(instance string) {
	for id, load := range l.reports[instance].loads {
		if known := l.servers[id]; known != nil {
			known.others = known.others.plus(load.Negative())
		}
	}
	delete(l.reports, instance)
}

// Expire removes the reports of peers that are older than a lifetime.
func (l *Ledger) Expire(now time.Time, lifetime time.Duration) {
	for instance, stated := range l.reports {
		if now.Sub(stated.at) > lifetime {
			l.withdraw(instance)
		}
	}
}

// LostElsewhere records that a peer could not reach a server at a time. It is
// ignored when the server sent something after that time. down means that nothing
// listens at the server's address.
func (l *Ledger) LostElsewhere(at time.Time, id, dataCentre string, down bool) {
	known := l.record(id)
	if known.heard.After(at) {
		return
	}
	wait := l.policy.Avoid
	if down {
		wait = l.policy.AvoidDown
	}
	if until := at.Add(wait); until.After(known.avoidUntil) {
		known.avoidUntil = until
	}
	l.centre(dataCentre).failed(at, id, l.policy.CentreWindow)
}

// Add changes the load that this instance causes at a server. The load never
// becomes negative: requests that started before the records of a server were
// removed may end afterwards.
func (l *Ledger) Add(id string, change Load) {
	known := l.record(id)
	known.own = known.own.plus(change).atLeastNone()
}

// Heard records that a server sent something.
func (l *Ledger) Heard(now time.Time, id string) {
	l.record(id).heardAt(now)
}

// LastHeard returns the time at which a server last sent something; zero when it
// never did.
func (l *Ledger) LastHeard(id string) time.Time {
	if known := l.servers[id]; known != nil {
		return known.heard
	}
	return time.Time{}
}

// Unreachable records that a server could not be reached or stalled, and returns
// the time until which it is avoided. down means that nothing listens at its
// address; it is then avoided for longer.
func (l *Ledger) Unreachable(now time.Time, id, dataCentre string, down bool) time.Time {
	known := l.record(id)
	wait := min(l.policy.Avoid<<min(known.failures, 8), l.policy.AvoidLimit)
	if down {
		wait = l.policy.AvoidDown
	}
	known.failures++
	known.avoidUntil = now.Add(wait)
	l.centre(dataCentre).failed(now, id, l.policy.CentreWindow)
	return known.avoidUntil
}

// Avoided reports whether a server is avoided now: because it failed itself, or
// because several others of its data centre failed together and it has sent
// nothing since.
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

// loss reports whether any data centre is suspected to have failed within the
// window.
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

// load returns the load of a server by all instances, zero without records.
func (l *Ledger) load(id string) Load {
	if known := l.servers[id]; known != nil {
		return known.load()
	}
	return Load{}
}

// cheapest returns the position of the candidate with the lowest cost, and false
// when there is no candidate. It returns an avoided server only when all are
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

// distance returns the cost of a place by its distance: none in the own data
// centre, near in the own region, far in other regions.
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

// spread adds a random part to a cost.
func (l *Ledger) spread(cost time.Duration) time.Duration {
	return cost + time.Duration(l.policy.Spread*l.random.Float64()*float64(cost+10*time.Millisecond))
}
