package score

import (
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// Defaults of prefix affinity.
const (
	// DefaultPrefixBytes is how much of the prompt identifies its prefix.
	DefaultPrefixBytes = 8192
	// DefaultMinBytes is the length of the shortest prompt with an owner.
	DefaultMinPromptBytes = 4096
	// DefaultBoundFactor is the load that an owner may have over the mean.
	DefaultBoundFactor = 1.25
	// affinityGain is taken off the cost of the server that owns the prefix.
	affinityGain = 1.0
)

// Prefix prefers the server that owns the prompt's prefix by rendezvous hash,
// so that requests with the same prefix meet the same cache. An owner loaded
// over the bound passes the prefix on to the next in rank.
type Prefix struct {
	// Bytes is how much of the prompt identifies its prefix.
	PrefixBytes int
	// BoundFactor times the mean load is what an owner may have.
	BoundFactor float64
	// MinBytes is the length of the shortest prompt with an owner: a prefix
	// that is shorter is soon cached everywhere.
	MinPromptBytes int
}

// NewPrefix returns prefix affinity with its defaults.
func NewPrefix() Prefix {
	return Prefix{PrefixBytes: DefaultPrefixBytes, BoundFactor: DefaultBoundFactor, MinPromptBytes: DefaultMinPromptBytes}
}

// Name implements Scorer.
func (Prefix) Name() string { return "prefix affinity" }

// Score implements Scorer.
func (p Prefix) Score(view *snapshot.View, candidates []Candidate) {
	if len(candidates) == 0 || len(view.Request.Prompt) < max(1, p.MinPromptBytes) {
		return
	}
	key := view.Request.Model + "\x00" + view.Request.Prompt[:min(p.PrefixBytes, len(view.Request.Prompt))]
	bound := LoadBound(view, candidates, p.BoundFactor)
	if owner := HighestWeightWithin(view, candidates, key, bound); owner >= 0 {
		candidates[owner].Cost -= affinityGain
		candidates[owner].Nominated = true
	}
}

// Bound returns the load up to which an owner keeps its prefixes: the factor
// times the mean load, with room for one more request.
func LoadBound(view *snapshot.View, candidates []Candidate, factor float64) float64 {
	held, capacity := 0.0, 0.0
	for _, candidate := range candidates {
		state := view.States.State(candidate.Server)
		held += float64(state.Requests)
		capacity += max(state.Capacity, 1)
	}
	return factor * (held + 1) / capacity
}

// HeaviestUnder returns the position of the candidate with the highest
// rendezvous weight for the key whose load is at most the bound, -1 if none.
func HighestWeightWithin(view *snapshot.View, candidates []Candidate, key string, bound float64) int {
	digest := rendezvous.DigestOf(key)
	best, bestWeight := -1, uint64(0)
	for i, candidate := range candidates {
		if view.States.State(candidate.Server).Load() > bound {
			continue
		}
		weight := digest.Weight(view.Servers[candidate.Server].Digest)
		if best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}
