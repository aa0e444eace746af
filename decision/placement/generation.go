package placement

import (
	"time"
)

// Choice is a chosen server.
type Choice struct {
	ID string
	// Wait is the expected time until the first event.
	Wait time.Duration
	// Load is the load that decided it.
	Load Load
	// Home is the server that the prompt prefers; empty for none.
	AffinityServer string
}

// ChooseGeneration returns the server where a generation is expected to begin
// first, and false when there is no candidate. Avoided servers are only chosen
// when all are avoided.
func (l *Ledger) ChooseGeneration(now time.Time, generation Generation, candidates []Candidate) (Choice, bool) {
	foreign := l.policy.PartitionCost
	if l.loss(now) {
		foreign = l.policy.FailoverPartitionCost
	}
	home := l.home(now, generation.PromptKey, candidates)
	best, found := l.cheapest(now, candidates, func(candidate *Candidate) time.Duration {
		cost := l.generationCost(generation, candidate)
		if candidate.ID == home {
			cost -= l.policy.AffinityDiscount
		}
		if candidate.OutsidePartition {
			cost += foreign
		}
		return cost
	})
	if !found {
		return Choice{}, false
	}
	choice := l.expect(generation, &candidates[best])
	choice.AffinityServer = home
	return choice, true
}

// expect returns what a generation meets at a candidate.
func (l *Ledger) expect(generation Generation, candidate *Candidate) Choice {
	load := l.load(candidate.ID)
	wait := l.prefill(load.PrefillTokens + generation.PromptTokens)
	if candidate.MemoryTokens > 0 && load.MemoryTokens+generation.MemoryTokens > candidate.MemoryTokens {
		wait += l.policy.FullCost
	}
	return Choice{ID: candidate.ID, Wait: wait, Load: load}
}

func (l *Ledger) generationCost(generation Generation, candidate *Candidate) time.Duration {
	expected := l.expect(generation, candidate)
	return l.spread(expected.Wait + time.Duration(expected.Load.Requests)*l.policy.RequestCost +
		l.distance(candidate.Place, l.policy.NearCost, l.policy.FarCost))
}

// prefill returns the time that an engine needs for prompt tokens.
func (l *Ledger) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.policy.PrefillPerMillisecond * float64(time.Millisecond))
}

// ChooseCopy returns the server that keeps a copy of a generation that runs at
// another: not in the data centre of the first if there is one elsewhere, with
// the most room, and near. It returns false when no server has room.
func (l *Ledger) ChooseCopy(now time.Time, generation Generation, running Candidate, candidates []Candidate) (string, bool) {
	best, bestCost, found := "", time.Duration(0), false
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.ID == running.ID || l.Avoided(now, candidate.ID, candidate.Place.DataCentre) {
			continue
		}
		load := l.load(candidate.ID)
		if load.MemoryTokens+generation.MemoryTokens > candidate.MemoryTokens {
			continue
		}
		cost := l.prefill(load.MemoryTokens+load.PrefillTokens) + l.distance(candidate.Place, l.policy.NearCost, l.policy.FarCost)
		if candidate.Place.DataCentre == running.Place.DataCentre {
			cost += sameCentreCost
		}
		cost = l.spread(cost)
		if !found || cost < bestCost {
			best, bestCost, found = candidate.ID, cost, true
		}
	}
	return best, found
}

// sameCentreCost keeps copies out of the data centre of the generation, which
// is lost as a whole more often than two of them: more than any load costs.
const sameCentreCost = time.Hour
