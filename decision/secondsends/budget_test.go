package secondsends

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var limits = Limits{Window: 10 * time.Second, Ratio: 0.8, FixedAllowance: 150}

// TestGroupsStayWithinTheBound drives the instances of several data centres
// with failures of any shape, statements that are late, and checks every window
// against the bound over all instances.
func TestGroupsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const centres, perCentre, step, steps = 3, 4, 100 * time.Millisecond, 300
		all := centres * perCentre
		budgets := make([]*Budget, all)
		stated := make([]Usage, all)
		for i := range budgets {
			budgets[i] = NewBudget(limits)
		}
		requests, seconds := make([]int, steps), make([]int, steps)
		failing := rapid.SliceOfN(rapid.IntRange(0, 4), steps/10, steps/10).Draw(t, "failing")
		for at := range steps {
			now := time.Duration(at) * step
			for i, budget := range budgets {
				if at%2 == 0 { // statements are up to two steps old
					stated[i] = budget.Usage(now)
				}
			}
			for i, budget := range budgets {
				group := Group{OwnShare: 1 / float64(all), GroupShare: 1 / float64(centres)}
				for other := range all {
					if other != i && other/perCentre == i/perCentre {
						group.Peers = group.Peers.Plus(stated[other])
					}
				}
				budget.RecordRequest(now)
				requests[at]++
				for range failing[at/10] {
					if budget.Take(now, group) {
						seconds[at]++
					}
				}
			}
		}
		const window = int(10 * time.Second / step)
		for from := 0; from+window <= steps; from++ {
			asked, again := 0, 0
			for at := from; at < from+window; at++ {
				asked += requests[at]
				again += seconds[at]
			}
			if float64(again) > limits.Ratio*float64(asked)+limits.FixedAllowance {
				t.Fatalf("from step %d: %d second sends for %d requests", from, again, asked)
			}
		}
	})
}

// TestUnevenNeedIsServedByTheGroup plays the loss of a data centre in front of
// which one instance holds most streams.
func TestUnevenNeedIsServedByTheGroup(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(limits)
	for range 5 {
		budget.RecordRequest(0)
	}
	alone := Group{OwnShare: 1.0 / 80, GroupShare: 1.0 / 80}
	together := Group{OwnShare: 1.0 / 80, GroupShare: 1.0 / 6, Peers: Usage{Requests: 60}}
	granted := 0
	for budget.Take(0, alone) {
		granted++
	}
	is.True(granted < 6)
	for budget.Take(0, together) {
		granted++
	}
	is.True(granted > 30)
}

func TestUsageLeavesTheWindow(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(limits)
	budget.RecordRequest(time.Second)
	is.Equal(budget.Usage(10*time.Second), Usage{Requests: 1})
	is.Equal(budget.Usage(12*time.Second), Usage{})
	budget.RecordRequest(100 * time.Second)
	is.Equal(budget.Usage(100*time.Second), Usage{Requests: 1})
}

// TestChangedLimitsForgetNothing lowers and raises the limits within a window: what
// was used before counts.
func TestChangedLimitsForgetNothing(t *testing.T) {
	is := is.New(t)
	limits := Limits{Window: 10 * time.Second, FixedAllowance: 20}
	b := NewBudget(limits)
	whole := Group{OwnShare: 1, GroupShare: 1}
	taken := 0
	for b.Take(time.Second, whole) {
		taken++
	}
	limits.FixedAllowance, limits.Window = 40, 20*time.Second
	b.SetLimits(2*time.Second, limits)
	for b.Take(2*time.Second, whole) {
		taken++
	}
	is.Equal(taken, int(reserve*40))
	limits.FixedAllowance = 10
	b.SetLimits(3*time.Second, limits)
	is.True(!b.Take(3*time.Second, whole))
	is.True(b.Take(40*time.Second, whole))
}
