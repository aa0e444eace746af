package placement

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// home returns the server that every instance of a data centre prefers for a
// prompt, and "" when the prompt is not known. It is for callers that retry after
// their instance or connection failed: whichever instance receives the retry, and
// although it has no record of the first attempt, it sends the request to the
// server that has the prompt in its cache.
func (l *Ledger) home(now time.Time, key string, candidates []Candidate) string {
	if key == "" {
		return ""
	}
	prompt := rendezvous.Key(key)
	home, most, near := "", uint64(0), false
	for i := range candidates {
		candidate := &candidates[i]
		own := candidate.Place.DataCentre == l.own.DataCentre
		if (near && !own) || l.Avoided(now, candidate.ID, candidate.Place.DataCentre) {
			continue
		}
		if weight := prompt.Weight(rendezvous.Key(candidate.ID)); weight > most || (own && !near) {
			home, most, near = candidate.ID, weight, own
		}
	}
	return home
}
