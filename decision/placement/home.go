package placement

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// home returns the server that every instance of a data centre prefers for a
// prompt, and "" when the prompt is not known. It answers callers that come
// again after their instance or their connection broke: whichever instance they
// reach, and though it knows nothing of the first attempt, it sends them where
// the prompt was read.
func (l *Ledger) home(now time.Time, key string, candidates []Candidate) string {
	if key == "" {
		return ""
	}
	prompt := rendezvous.DigestOf(key)
	home, most, near := "", uint64(0), false
	for i := range candidates {
		candidate := &candidates[i]
		own := candidate.Place.DataCentre == l.own.DataCentre
		if (near && !own) || l.Avoided(now, candidate.ID, candidate.Place.DataCentre) {
			continue
		}
		if weight := prompt.Weight(rendezvous.DigestOf(candidate.ID)); weight > most || (own && !near) {
			home, most, near = candidate.ID, weight, own
		}
	}
	return home
}
