package suspicion_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
)

var policy = suspicion.Policy{
	MinSilenceTimeout:  200 * time.Millisecond,
	MaxSilenceTimeout:  2 * time.Second,
	Deviations:         8,
	PrefillBase:        time.Second,
	PrefillPerKilobyte: 100 * time.Millisecond,
}

func TestBudgetStaysBetweenFloorAndCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var cadence suspicion.IntervalEstimator
		for _, gap := range rapid.SliceOf(rapid.IntRange(0, 10_000)).Draw(t, "gaps") {
			cadence.Observe(time.Duration(gap) * time.Millisecond)
			budget := cadence.SilenceTimeout(policy)
			is.True(budget >= policy.MinSilenceTimeout)
			is.True(budget <= policy.MaxSilenceTimeout)
		}
	})
}

func TestSteadyGapsAreNeverSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		mean := rapid.IntRange(1, 900).Draw(t, "mean")
		var cadence suspicion.IntervalEstimator
		for range 200 {
			gap := time.Duration(mean+rapid.IntRange(-mean/10, mean/10).Draw(t, "jitter")) * time.Millisecond
			is.True(gap < cadence.SilenceTimeout(policy))
			cadence.Observe(gap)
		}
	})
}

func TestSlowStreamIsAllowedLongerSilenceThanFastOne(t *testing.T) {
	is := is.New(t)
	var fast, slow suspicion.IntervalEstimator
	for range 50 {
		fast.Observe(29 * time.Millisecond)
		slow.Observe(600 * time.Millisecond)
	}
	is.Equal(fast.SilenceTimeout(policy), policy.MinSilenceTimeout)
	is.True(slow.SilenceTimeout(policy) >= 600*time.Millisecond)
}

func TestPrefillBudgetGrowsWithTheText(t *testing.T) {
	is := is.New(t)
	is.Equal(policy.PrefillTimeout(0), time.Second)
	is.Equal(policy.PrefillTimeout(100*1024), 11*time.Second)
}
