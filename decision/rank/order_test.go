package rank_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/rank"
)

// Guards against streams that are preempted by fresh requests after a loss, and against levels that contradict the ranks.
func TestLevelsFollowRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.SliceOfN(rapid.IntRange(0, 1000), 0, 12).Draw(t, "ranks")
		order := rank.NewOrder(ranks)
		for _, high := range ranks {
			for _, low := range ranks {
				fresh, differ := order.Level(high, false)
				begun, _ := order.Level(low, true)
				if differ != order.Differ() || differ && begun >= fresh || fresh >= rank.MaxLevels {
					t.Fatalf("a begun stream of rank %d has level %d, a fresh one of rank %d level %d", low, begun, high, fresh)
				}
				lower, _ := order.Level(low, false)
				if high < low && (fresh > lower || order.Count() <= rank.MaxLevels/2 && fresh == lower) {
					t.Fatalf("rank %d has level %d, rank %d level %d", high, fresh, low, lower)
				}
			}
		}
	})
}

func TestEqualRanksHaveNoLevels(t *testing.T) {
	is := is.New(t)
	_, differ := rank.NewOrder([]int{2, 2, 2}).Level(2, false)
	is.True(!differ)
	_, differ = rank.Order{}.Level(0, true)
	is.True(!differ)
}
