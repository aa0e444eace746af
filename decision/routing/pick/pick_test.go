package pick_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/pick"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
)

func counts(picker pick.Picker, candidates []score.Candidate) []int {
	random := rand.New(rand.NewPCG(1, 1))
	picked := make([]int, len(candidates))
	for range 3000 {
		picked[picker.Pick(candidates, random)]++
	}
	return picked
}

func TestPickers(t *testing.T) {
	is := is.New(t)
	candidates := []score.Candidate{{Cost: 2}, {Cost: 1}, {Cost: 3}}
	for _, count := range counts(pick.Random{}, candidates) {
		is.True(count > 850 && count < 1150)
	}
	is.Equal(counts(pick.Best{}, candidates), []int{0, 3000, 0})
	two := counts(pick.TwoChoices{}, candidates)
	is.True(two[1] > 1850 && two[1] < 2150) // the best is in two of three pairs
	is.Equal(two[2], 0)                     // the worst is never the cheaper of a pair
}

func TestTwoChoicesIncludesNominated(t *testing.T) {
	is := is.New(t)
	candidates := []score.Candidate{{Cost: 2}, {Cost: 1, Nominated: true}, {Cost: 3}, {Cost: 4}}
	is.Equal(counts(pick.TwoChoices{}, candidates)[1], 3000)
	is.Equal(counts(pick.TwoChoices{}, candidates[:1]), []int{3000})
}
