package placement

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// affinityServer returns the server that every instance of a data centre prefers for
// a prompt, and "" when the prompt is not known. It is for callers that retry after
// their instance or connection failed: whichever instance receives the retry, and
// although it has no record of the first attempt, it sends the request to the
// server that has the prompt in its cache.
func (l *Ledger) affinityServer(now time.Time, key string, candidates []Candidate) string {
	if key == "" {
		return ""
	}
	prompt := rendezvous.DigestOf(key)
	chosen, maxWeight, chosenLocal := "", uint64(0), false
	for i := range candidates {
		candidate := &candidates[i]
		local := candidate.Place.DataCentre == l.ownPlace.DataCentre
		if (chosenLocal && !local) || l.Refusing(now, candidate.ID) > 0 || l.Avoided(now, candidate.ID, candidate.Place.DataCentre) {
			continue
		}
		if weight := prompt.Weight(rendezvous.DigestOf(candidate.ID)); weight > maxWeight || (local && !chosenLocal) {
			chosen, maxWeight, chosenLocal = candidate.ID, weight, local
		}
	}
	return chosen
}
