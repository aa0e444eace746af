// Package rendezvous ranks names by highest random weight (rendezvous hashing), so that
// all instances make the same choice for a key without communicating.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a name for a key.
func Weight(key, name string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(name)
	return hash.Sum64()
}

// Top returns the count names with the highest weights for a key, highest weight first,
// or all names when there are fewer.
func Top(key string, names []string, count int) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		if order := cmp.Compare(Weight(key, b), Weight(key, a)); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	return ranked[:min(count, len(ranked))]
}

// Owner returns the name with the highest weight for a key, or "" when there
// are no names.
func Owner(key string, names []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range names {
		weight := Weight(key, name)
		if best == "" || weight > bestWeight || (weight == bestWeight && name < best) {
			best, bestWeight = name, weight
		}
	}
	return best
}
