package routing

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
)

// Parameters of feature extraction.
const (
	// chunkBytes is the mean length of a chunk.
	chunkBytes = 1024
	// windowBytes is the length of the window whose hash decides whether a chunk ends.
	windowBytes = 16
	// featureGain is subtracted from the cost of a nominated server.
	featureGain = 1.0
	rollBase    = 1_000_003
)

// features is a scorer that routes by the least features of the prompt's content, as in "Scalable
// Document Fingerprinting" (document routing): the prompt is cut into chunks whose boundaries
// depend on the content alone, each chunk gives one feature, and each of the few least features
// nominates one server. The nominated server with the least load is preferred. Prompts too short
// to have an owner in prefix affinity nominate no server.
type features struct {
	// featureCount is how many of the least features nominate servers.
	featureCount int
	boundFactor  float64
}

func newFeatures(factor int) features {
	return features{featureCount: factor, boundFactor: score.DefaultBoundFactor}
}

// Name implements score.Scorer.
func (features) Name() string { return "minimum features" }

// Score implements score.Scorer.
func (f features) Score(view *snapshot.View, candidates []score.Candidate) {
	if len(candidates) == 0 || len(view.Request.Prompt) < score.DefaultMinPromptBytes {
		return
	}
	bound := score.LoadBound(view, candidates, f.boundFactor)
	nominated := make(map[int]bool)
	for _, feature := range leastFeatures(view.Request.Prompt, f.featureCount) {
		key := strconv.FormatUint(feature, 16)
		if owner := score.HighestWeightWithin(view, candidates, key, bound); owner >= 0 && !nominated[owner] {
			nominated[owner] = true
			candidates[owner].Cost -= featureGain
			candidates[owner].Nominated = true
		}
	}
}

// leastFeatures returns the least features of a text in ascending order.
func leastFeatures(text string, count int) []uint64 {
	var all []uint64
	start := 0
	for _, end := range boundaries(text) {
		all = append(all, xxhash.Sum64String(text[start:end]))
		start = end
	}
	slices.SortFunc(all, cmp.Compare[uint64])
	all = slices.Compact(all)
	return all[:min(count, len(all))]
}

// boundaries returns the end offsets of the chunks of a text: a chunk ends where the mixed
// rolling hash of the last windowBytes bytes is divisible by the mean chunk length.
func boundaries(text string) []int {
	power := uint64(1)
	for range windowBytes {
		power *= rollBase
	}
	var ends []int
	hash := uint64(0)
	for i := range len(text) {
		hash = hash*rollBase + uint64(text[i]) + 1
		if i >= windowBytes {
			hash -= power * (uint64(text[i-windowBytes]) + 1)
		}
		if i >= windowBytes && (hash^hash>>29)%chunkBytes == 0 {
			ends = append(ends, i+1)
		}
	}
	if len(ends) == 0 || ends[len(ends)-1] != len(text) {
		ends = append(ends, len(text))
	}
	return ends
}
