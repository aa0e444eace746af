package overflow

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// Balance decides for one service which share of the requests of a data centre leaves it, and where they go. All instances
// of the data centre state the share that each of them finds; the middle one of these is in force at all of them. It is not
// safe for concurrent use.
type Balance struct {
	policy Policy
	home   string
	region string
	// own is the share that this instance finds, agreed the one in force since the last change.
	own    int
	agreed int
	// gain is the smoothed gain of leaving, as waiting time; growth the smoothed change of the wait at home in a second, wait
	// its last value.
	gain      time.Duration
	growth    float64
	wait      time.Duration
	changedAt time.Time
	// lost is set while the data centre has no servers, beforeLoss the share before that.
	lost       bool
	beforeLoss int
	// targets are the data centres that may take requests.
	targets []target
	// shares are the shares that peers of the data centre state, centres what is stated about other data centres; by instance.
	shares  map[string]statedShare
	centres map[string]statedCentre
}

// fastReturn is the part of the share that comes back at once when leaving no longer gains anything.
const fastReturn = 4

// target is a data centre that takes requests, with its weight among all.
type target struct {
	dataCentre string
	weight     float64
}

type statedShare struct {
	share int
	at    time.Time
}

type statedCentre struct {
	dataCentre string
	statement  Statement
	at         time.Time
}

// NewBalance returns a balance of an instance in a data centre of a region, by which nothing leaves.
func NewBalance(policy Policy, home, region string) *Balance {
	return &Balance{policy: policy, home: home, region: region, shares: make(map[string]statedShare), centres: make(map[string]statedCentre)}
}

// Stated records the statement of another instance in a data centre, and reports whether it is valid. An invalid one
// changes nothing.
func (b *Balance) Stated(now time.Time, instance, dataCentre string, statement Statement) bool {
	if !statement.valid() {
		return false
	}
	if dataCentre == b.home {
		b.shares[instance] = statedShare{share: statement.Share, at: now}
		return true
	}
	b.centres[instance] = statedCentre{dataCentre: dataCentre, statement: statement, at: now}
	return true
}

// Due reports whether Update may change something.
func (b *Balance) Due(now time.Time) bool { return now.Sub(b.changedAt) >= b.policy.Period }

// Update finds the share anew from the centres whose servers this instance knows. The number of servers counts as it
// sees them, the wait and the capacity elsewhere as the instances there state them. It reports whether the share in force
// has changed.
func (b *Balance) Update(now time.Time, home Centre, others []Centre) (changed bool) {
	b.expire(now)
	before := b.agreed
	b.agreed = b.median()
	gain := b.findTargets(home, others)
	b.observe(now, home.Wait, gain)
	switch {
	case len(b.targets) == 0:
		b.own = 0
	case home.Servers == 0:
		if !b.lost {
			b.lost, b.beforeLoss = true, b.agreed
		}
		b.own = whole
	case b.lost:
		b.lost, b.own = false, b.beforeLoss
	default:
		b.own = b.next(home.Wait)
	}
	if b.own == 0 || b.own == whole && home.Servers == 0 {
		// Neither a lack of targets nor a lost data centre waits for the others.
		b.agreed = b.own
	} else {
		b.agreed = b.median()
	}
	return b.agreed != before
}

// observe smooths the gain of leaving and the change of the wait at home in a second.
func (b *Balance) observe(now time.Time, wait, gain time.Duration) {
	elapsed := now.Sub(b.changedAt)
	b.changedAt = now
	if elapsed <= 0 || elapsed > b.policy.Lifetime {
		b.gain, b.growth, b.wait = gain, 0, wait
		return
	}
	growth := float64(wait-b.wait) / float64(elapsed)
	b.wait = wait
	b.gain += time.Duration(b.policy.Smoothing * float64(gain-b.gain))
	b.growth += b.policy.Smoothing * (growth - b.growth)
}

// next returns the share that follows the agreed one, at most MaxSteps more or one step less. What stays at home makes the
// wait grow by the part by which it exceeds what the servers do: so the share is known at which it would end in DrainTime.
func (b *Balance) next(wait time.Duration) int {
	margin := max(b.policy.MinGain, time.Duration(b.policy.GainPart*float64(wait)))
	wanted := 0
	switch {
	case b.gain > margin/2:
		stays := 1 - float64(b.agreed)/whole
		stays *= (1 - float64(b.gain-margin)/float64(b.policy.DrainTime)) / max(0.1, 1+b.growth)
		wanted = int(whole * (1 - min(1, max(0, stays))))
		if b.gain < margin {
			// Too little to begin or to go on with more.
			wanted = min(wanted, b.agreed)
		}
	case b.gain > 0 && b.growth > 0:
		wanted = b.agreed
	}
	steps := (wanted - b.agreed) / b.policy.Step
	switch {
	case wanted > 0 && max(steps, -steps) <= b.policy.IgnoredSteps && b.agreed > 0:
		return b.agreed
	case steps > 0:
		return min(whole, b.agreed+b.policy.Step*min((steps+1)/2, b.policy.MaxSteps))
	case wanted < b.agreed:
		down := 1
		if b.gain < 0 {
			// Leaving costs more than it gains.
			down = max(1, b.agreed/fastReturn/b.policy.Step)
		}
		return max(0, b.agreed-down*b.policy.Step)
	default:
		return b.agreed
	}
}

// findTargets sets the data centres in which a request waits clearly less, distance included, and returns the largest gain.
// When all of them gain less than nothing, those that were in use stay for the share that is left.
func (b *Balance) findTargets(home Centre, others []Centre) (gain time.Duration) {
	previous := b.targets
	b.targets, gain = nil, -1
	for i := range others {
		centre, known := b.stated(&others[i])
		if !known || centre.Servers == 0 {
			continue
		}
		relief := home.Wait - centre.Wait - b.distance(centre.Region)
		gain = max(gain, relief)
		switch {
		case home.Servers == 0:
			relief = max(time.Millisecond, maxWait-centre.Wait-b.distance(centre.Region))
		case relief <= 0 && !wasTarget(previous, centre.DataCentre):
			continue
		}
		weight := max(centre.Capacity, 0.1) * float64(max(relief, time.Millisecond))
		b.targets = append(b.targets, target{dataCentre: centre.DataCentre, weight: weight})
	}
	slices.SortFunc(b.targets, func(a, b target) int { return cmp.Compare(a.dataCentre, b.dataCentre) })
	return gain
}

func wasTarget(targets []target, dataCentre string) bool {
	return slices.ContainsFunc(targets, func(t target) bool { return t.dataCentre == dataCentre })
}

// stated returns a centre with what its instances state: the longest wait and the least capacity of the statements that count.
func (b *Balance) stated(centre *Centre) (Centre, bool) {
	combined, known := *centre, false
	for _, entry := range b.centres {
		if entry.dataCentre != centre.DataCentre {
			continue
		}
		if !known {
			combined.Wait, combined.Capacity, known = entry.statement.Wait, entry.statement.Capacity, true
			combined.Servers = min(combined.Servers, entry.statement.Servers)
			continue
		}
		combined.Wait, combined.Capacity = max(combined.Wait, entry.statement.Wait), min(combined.Capacity, entry.statement.Capacity)
		combined.Servers = min(combined.Servers, entry.statement.Servers)
	}
	return combined, known
}

// WaitAt returns the wait that the instances of another data centre state; 0 when they state none.
func (b *Balance) WaitAt(now time.Time, dataCentre string) time.Duration {
	wait := time.Duration(0)
	for _, entry := range b.centres {
		if entry.dataCentre == dataCentre && now.Sub(entry.at) <= b.policy.Lifetime {
			wait = max(wait, entry.statement.Wait)
		}
	}
	return wait
}

// Share returns the share in force in percent.
func (b *Balance) Share() int { return b.agreed }

// Own returns the share that this instance finds, for its statements.
func (b *Balance) Own() int { return b.own }

// Target returns the data centre for a request with a key, and false when it stays at home. Requests with the same key get
// the same answer at all instances that know the same.
func (b *Balance) Target(key string) (dataCentre string, leaves bool) {
	if key == "" || b.agreed == 0 || len(b.targets) == 0 {
		return "", false
	}
	digest := rendezvous.DigestOf(key)
	if part(digest, rendezvous.DigestOf(b.home))*whole >= float64(b.agreed) {
		return "", false
	}
	best := -1.0
	for _, t := range b.targets {
		if score := t.weight / max(1e-9, -logOf(part(digest, rendezvous.DigestOf(t.dataCentre)))); score > best {
			best, dataCentre = score, t.dataCentre
		}
	}
	return dataCentre, true
}

func (b *Balance) distance(region string) time.Duration {
	if region == b.region {
		return b.policy.NearCost
	}
	return b.policy.FarCost
}

// median returns the middle one of the own share and those of the peers; of two middle ones the lower.
func (b *Balance) median() int {
	shares := []int{b.own}
	for _, entry := range b.shares {
		shares = append(shares, entry.share)
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// expire drops statements that are too old.
func (b *Balance) expire(now time.Time) {
	for instance, entry := range b.shares {
		if now.Sub(entry.at) > b.policy.Lifetime {
			delete(b.shares, instance)
		}
	}
	for instance, entry := range b.centres {
		if now.Sub(entry.at) > b.policy.Lifetime {
			delete(b.centres, instance)
		}
	}
}
