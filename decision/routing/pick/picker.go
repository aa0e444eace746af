package pick

import (
	"math/rand/v2"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
)

// Picker chooses one of the candidates.
type Picker interface {
	// Name identifies the picker in explanations.
	Name() string
	// Pick returns the position of the choice; candidates must not be empty.
	Pick(candidates []score.Candidate, random *rand.Rand) int
}
