package pick

import (
	"math/rand/v2"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
)

// Best picks the candidate with the lowest cost, the first of equals.
type Best struct{}

// Name implements Picker.
func (Best) Name() string { return "best" }

// Pick implements Picker.
func (Best) Pick(candidates []score.Candidate, _ *rand.Rand) int {
	best := 0
	for i := range candidates {
		if candidates[i].Cost < candidates[best].Cost {
			best = i
		}
	}
	return best
}
