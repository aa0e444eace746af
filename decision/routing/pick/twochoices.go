package pick

import (
	"math/rand/v2"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
)

// TwoChoices picks the cheapest of two random candidates and all nominated ones.
// Sampling prevents instances that share a stale view from all choosing the same
// server.
type TwoChoices struct{}

// Name implements Picker.
func (TwoChoices) Name() string { return "two random choices" }

// Pick implements Picker.
func (TwoChoices) Pick(candidates []score.Candidate, random *rand.Rand) int {
	best := random.IntN(len(candidates))
	if len(candidates) > 1 {
		other := random.IntN(len(candidates) - 1)
		if other >= best {
			other++
		}
		best = cheaper(candidates, best, other)
	}
	for i := range candidates {
		if candidates[i].Nominated {
			best = cheaper(candidates, best, i)
		}
	}
	return best
}

func cheaper(candidates []score.Candidate, a, b int) int {
	if candidates[b].Cost < candidates[a].Cost {
		return b
	}
	return a
}
