package score

import (
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// Defaults of prefix affinity; costs are fractions of a server's capacity.
const (
	// DefaultPrefixBytes is the number of prompt bytes that identify its prefix.
	DefaultPrefixBytes = 8192
	// DefaultMinPromptBytes is the length in bytes of the shortest prompt with an owner.
	DefaultMinPromptBytes = 4096
	// DefaultBoundFactor is the maximum load of an owner as a multiple of the mean.
	DefaultBoundFactor = 1.25
	// affinityDiscount is subtracted from the cost of the prefix's owner.
	affinityDiscount = 1.0
)

// Prefix prefers the server that owns the prompt's prefix by rendezvous hashing,
// so that requests with the same prefix reach the same KV cache. When the load of
// the owner exceeds the bound, the next server by weight owns the prefix.
type Prefix struct {
	// PrefixBytes is the number of leading prompt bytes that identify its prefix.
	PrefixBytes int
	// BoundFactor times the mean load is the maximum load of an owner.
	BoundFactor float64
	// MinPromptBytes is the length of the shortest prompt with an owner: a shorter
	// prefix is soon cached at every server.
	MinPromptBytes int
}

// NewPrefix returns a Prefix with the default values.
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
		candidates[owner].Cost -= affinityDiscount
		candidates[owner].Nominated = true
	}
}

// LoadBound returns the maximum load at which a server keeps the prefixes that it
// owns: the factor times the mean load after one more request.
func LoadBound(view *snapshot.View, candidates []Candidate, factor float64) float64 {
	requests, capacity := 0.0, 0.0
	for _, candidate := range candidates {
		state := view.States.State(candidate.Server)
		requests += float64(state.Requests)
		capacity += max(state.Capacity, 1)
	}
	return factor * (requests + 1) / capacity
}

// HighestWeightWithin returns the position of the candidate with the highest
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
