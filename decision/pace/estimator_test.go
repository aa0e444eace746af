package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// eventInterval and tokensPerEvent are those of the users' engines: a step of
// 6.35 ms and five tokens per event.
const (
	eventInterval  = 32 * time.Millisecond
	tokensPerEvent = 5
)

// trainedEstimator returns an estimator that has observed generations like the
// users': 600 tokens on average, intervals up to 50 % longer than the usual one.
func trainedEstimator(random *rand.Rand, count int) *Estimator {
	e := &Estimator{}
	for range count {
		tokens := 200 + random.IntN(800)
		e.Observe(CompletedGeneration{OutputTokens: tokens, Events: tokens / tokensPerEvent, Duration: drawDuration(random, tokens/tokensPerEvent)})
	}
	return e
}

// drawDuration returns the time that events take at an engine under a random load.
func drawDuration(random *rand.Rand, events int) time.Duration {
	return time.Duration(float64(events-1) * float64(eventInterval) * (1 + random.Float64()/2))
}

func TestNoEstimateBeforeEnoughGenerations(t *testing.T) {
	is := is.New(t)
	e := trainedEstimator(rand.New(rand.NewPCG(1, 1)), minGenerations-1)
	is.Equal(e.MinRemainingTime(100_000, 0), time.Duration(0))
	e.Observe(CompletedGeneration{Events: 1, OutputTokens: 5, Duration: time.Second}) // a single event has no interval
	is.Equal(e.MinRemainingTime(100_000, 0), time.Duration(0))
}

// TestServableCallersAreNotRejected draws callers that resume after 18 s of
// silence with the rest of 25 s as their remaining time. None whose remaining
// events fit may be rejected, and more than half of those that don't fit must be.
func TestServableCallersAreNotRejected(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 3))
	e := trainedEstimator(random, 200)
	wronglyRejected, rejected, unservable := 0, 0, 0
	for range 2000 {
		tokens := 200 + random.IntN(800)
		events := tokens / tokensPerEvent
		position := random.IntN(events)
		remaining := time.Duration(random.Float64() * float64(7*time.Second))
		needed := drawDuration(random, events-position+1)
		if needed > remaining {
			unservable++
		}
		if e.MinRemainingTime(tokens, uint64(position)) <= remaining {
			continue
		}
		rejected++
		if needed <= remaining {
			wronglyRejected++
		}
	}
	t.Logf("%d of %d callers that can't be served were rejected, and %d that could", rejected-wronglyRejected, unservable, wronglyRejected)
	is.Equal(wronglyRejected, 0)
	is.True(2*rejected > unservable)
}

func TestEstimateDoesNotGrowWithThePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		e := trainedEstimator(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), rapid.IntRange(0, 50).Draw(t, "seen"))
		tokens := rapid.IntRange(0, 5000).Draw(t, "tokens")
		before := rapid.Uint64Range(0, 2000).Draw(t, "position")
		after := before + rapid.Uint64Range(0, 2000).Draw(t, "more")
		is.True(e.MinRemainingTime(tokens, after) <= e.MinRemainingTime(tokens, before))
		is.True(e.MinRemainingTime(tokens, after) >= 0)
		is.True(e.MinRemainingTime(tokens+1, before) >= e.MinRemainingTime(tokens, before))
	})
}
