package placement

import (
	"math"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// affinityServer returns the server that every instance of a data centre prefers for
// a prompt, and "" when the prompt is not known. It is for callers that retry after
// their instance or connection failed: whichever instance receives the retry, and
// although it has no record of the first attempt, it sends the request to the
// server that has the prompt in its cache. Faster servers are preferred for more prompts.
func (l *Ledger) affinityServer(now time.Time, key string, candidates []Candidate) string {
	if key == "" {
		return ""
	}
	prompt, home := rendezvous.DigestOf(key), l.ownPlace.DataCentre
	if decided := slices.IndexFunc(candidates, func(candidate Candidate) bool { return candidate.Detour == DetourDecided }); decided >= 0 {
		home = candidates[decided].Place.DataCentre
	}
	chosen, maxWeight, chosenLocal := "", 0.0, false
	for i := range candidates {
		candidate := &candidates[i]
		local := candidate.Place.DataCentre == home
		if (chosenLocal && !local) || l.Refusing(now, candidate.ID) > 0 || l.Avoided(now, candidate.ID, candidate.Place.DataCentre) {
			continue
		}
		if weight := preference(prompt.Weight(rendezvous.DigestOf(candidate.ID)), candidate.produceWork()); weight > maxWeight || (local && !chosenLocal) {
			chosen, maxWeight, chosenLocal = candidate.ID, weight, local
		}
	}
	return chosen
}

// preferenceExponent makes fast servers preferred for more prompts than in proportion to their speed: the streams at a slow one
// also take longer, and wait for each other's prompts meanwhile.
const preferenceExponent = 3

// preference returns the rank of a server for a prompt by its rendezvous weight and how long work takes there. At servers of
// the same speed the order is that of the weights.
func preference(weight uint64, work float64) float64 {
	part := (float64(weight>>11) + 0.5) / (1 << 53)
	return math.Pow(work, -preferenceExponent) / -math.Log(part)
}
