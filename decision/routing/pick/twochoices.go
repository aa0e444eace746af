package pick

import (
	"math/rand/v2"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
)

// TwoChoices takes the cheaper of two random candidates and of those that a
// scorer nominated. Sampling keeps instances that share a stale view from all
// taking the same server.
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
