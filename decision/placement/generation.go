package placement

import (
	"time"
)

// Choice is the server chosen for a generation.
type Choice struct {
	ID string
	// Wait is the expected time until the first event.
	Wait time.Duration
	// MinReadTokens is the number of prompt tokens that are read before the first event for certain:
	// the generation's own ones, and half of those that wait, which may be read in part already.
	MinReadTokens int
	// Load is the load of the server before the generation.
	Load Load
	// HasRoom reports whether the server has, as far as is known, a free slot and enough memory now.
	HasRoom bool
	// ProduceWork is how long producing the answer takes there, as a multiple of the usual time.
	ProduceWork float64
	// AffinityServer is the server that is preferred for the prompt; empty for none.
	AffinityServer string
}

// ChooseGeneration returns the server that is expected to send the first event of
// a generation earliest, and false when there is no candidate. It chooses an
// avoided server only when all are avoided, and none that refuses requests. Where the prompt is
// known to be kept, only the rest counts as read; otherwise one server is preferred for it.
func (l *Ledger) ChooseGeneration(now time.Time, generation Generation, candidates []Candidate) (Choice, bool) {
	partitionCost := l.policy.PartitionCost
	if l.anyCentreSuspected(now) {
		partitionCost = l.policy.FailoverPartitionCost
	}
	affinity := ""
	if generation.CachedAt == "" {
		affinity = l.affinityServer(now, generation.PromptKey, candidates)
	}
	best, found := l.cheapest(now, candidates, func(candidate *Candidate) time.Duration {
		cost := l.generationCost(generation, candidate)
		if candidate.ID == affinity {
			cost -= l.policy.AffinityDiscount
		}
		if candidate.OutsidePartition && candidate.ID != generation.CachedAt {
			cost += partitionCost
		}
		return cost
	})
	if !found {
		return Choice{}, false
	}
	choice := l.expectedAt(generation, &candidates[best])
	choice.AffinityServer = affinity
	return choice, true
}

// expectedAt returns a candidate's load and the expected wait of a generation there.
func (l *Ledger) expectedAt(generation Generation, candidate *Candidate) Choice {
	load := l.load(candidate.ID).plus(candidate.Unknown)
	unread := generation.unreadTokens(candidate.ID)
	wait := l.readTime(candidate, load.PrefillTokens+unread)
	fits := candidate.MemoryTokens == 0 || load.MemoryTokens+generation.MemoryTokens <= candidate.MemoryTokens
	if !fits || candidate.MemoryTokens > 0 && candidate.Waiting > 0 {
		wait += l.policy.FullCost
	}
	return Choice{ID: candidate.ID, Wait: wait, MinReadTokens: load.PrefillTokens/2 + unread, HasRoom: l.FreePlaces(generation, candidate) > 0, Load: load, ProduceWork: candidate.produceWork()}
}

func (l *Ledger) generationCost(generation Generation, candidate *Candidate) time.Duration {
	expected := l.expectedAt(generation, candidate)
	cost := l.addJitter(expected.Wait + time.Duration(expected.Load.Requests)*l.policy.RequestCost +
		l.detourCost(candidate, expected.Wait, l.policy.NearCost, l.policy.FarCost))
	cost += l.paceCost(generation, candidate)
	if generation.misses(expected.Wait, candidate) {
		cost += unfitCost
	}
	return cost
}

// paceCost returns what a server costs for producing the answer more slowly than usual, negative for a faster one.
func (l *Ledger) paceCost(generation Generation, candidate *Candidate) time.Duration {
	return time.Duration(l.policy.PaceWeight * (candidate.produceWork() - 1) * float64(generation.ProduceTime))
}

// misses reports whether a server, after a wait, is expected to pause for longer than the caller accepts, or to end
// after the deadline.
func (g *Generation) misses(wait time.Duration, candidate *Candidate) bool {
	if g.MaxPause > 0 && candidate.Pause > g.MaxPause {
		return true
	}
	end := wait + time.Duration(candidate.produceWork()*float64(g.ProduceTime))
	return g.Remaining > 0 && g.ProduceTime > 0 && end > g.Remaining
}

// readTime returns the time that a candidate needs to read prompt tokens.
func (l *Ledger) readTime(candidate *Candidate, tokens int) time.Duration {
	if candidate.ReadingSpeed > 0 {
		return time.Duration(candidate.readWork() * float64(tokens) / candidate.ReadingSpeed * float64(time.Millisecond))
	}
	return time.Duration(candidate.readWork() * float64(l.prefillTime(tokens)))
}

// prefillTime returns the time that an engine needs to read prompt tokens.
func (l *Ledger) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.policy.PrefillPerMillisecond * float64(time.Millisecond))
}

// ChooseCopy returns the server that keeps the KV cache copy of a generation that
// runs at another server. It prefers other data centres than that of the running
// server, then little load and a short distance. It returns false when no server
// has enough free memory.
func (l *Ledger) ChooseCopy(now time.Time, generation Generation, running Candidate, candidates []Candidate) (string, bool) {
	best, bestCost, found := "", time.Duration(0), false
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.ID == running.ID || l.Refusing(now, candidate.ID) > 0 || l.Avoided(now, candidate.ID, candidate.Place.DataCentre) {
			continue
		}
		load := l.load(candidate.ID).plus(candidate.Unknown)
		if load.MemoryTokens+generation.MemoryTokens > candidate.MemoryTokens {
			continue
		}
		cost := l.prefillTime(load.MemoryTokens+load.PrefillTokens) + l.paceCost(generation, candidate) + l.distanceCost(candidate.Place, l.policy.NearCost, l.policy.FarCost)
		if candidate.Place.DataCentre == running.Place.DataCentre {
			cost += sameCentreCost
		}
		cost = l.addJitter(cost)
		if !found || cost < bestCost {
			best, bestCost, found = candidate.ID, cost, true
		}
	}
	return best, found
}

// unfitCost is the cost of a server that can't meet the pause or the deadline of a generation. It is higher than any other
// cost of a server without a failure, so that it is chosen only when none can.
const unfitCost = time.Hour

// sameCentreCost keeps copies out of the data centre of the generation, because
// one data centre fails more often than two do together. It is higher than the
// cost of any load.
const sameCentreCost = time.Hour
