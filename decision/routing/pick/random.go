package pick

import (
	"math/rand/v2"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
)

// Random picks every candidate with equal probability.
type Random struct{}

// Name implements Picker.
func (Random) Name() string { return "random" }

// Pick implements Picker.
func (Random) Pick(candidates []score.Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}
