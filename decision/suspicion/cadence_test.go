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

func TestSilenceTimeoutStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var estimator suspicion.IntervalEstimator
		for _, interval := range rapid.SliceOf(rapid.IntRange(0, 10_000)).Draw(t, "gaps") {
			estimator.Observe(time.Duration(interval) * time.Millisecond)
			timeout := estimator.SilenceTimeout(policy)
			is.True(timeout >= policy.MinSilenceTimeout)
			is.True(timeout <= policy.MaxSilenceTimeout)
		}
	})
}

func TestSteadyStreamNeverStalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		mean := rapid.IntRange(1, 900).Draw(t, "mean")
		var estimator suspicion.IntervalEstimator
		for range 200 {
			interval := time.Duration(mean+rapid.IntRange(-mean/10, mean/10).Draw(t, "jitter")) * time.Millisecond
			is.True(interval < estimator.SilenceTimeout(policy))
			estimator.Observe(interval)
		}
	})
}

func TestSlowStreamHasALongerSilenceTimeout(t *testing.T) {
	is := is.New(t)
	var fast, slow suspicion.IntervalEstimator
	for range 50 {
		fast.Observe(29 * time.Millisecond)
		slow.Observe(600 * time.Millisecond)
	}
	is.Equal(fast.SilenceTimeout(policy), policy.MinSilenceTimeout)
	is.True(slow.SilenceTimeout(policy) >= 600*time.Millisecond)
}

func TestPrefillTimeoutGrowsWithTheText(t *testing.T) {
	is := is.New(t)
	is.Equal(policy.PrefillTimeout(0), time.Second)
	is.Equal(policy.PrefillTimeout(100*1024), 11*time.Second)
}
