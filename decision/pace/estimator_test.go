package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// eventGap and tokensPerEvent are the users' engines: a step of 6.35 ms and five
// tokens an event.
const (
	eventGap       = 32 * time.Millisecond
	tokensPerEvent = 5
)

// learned returns an estimator that has seen the users' generations: 600 tokens in
// the mean, events that come up to a half later than usual.
func learned(random *rand.Rand, count int) *Estimator {
	e := &Estimator{}
	for range count {
		tokens := 200 + random.IntN(800)
		e.Observe(CompletedGeneration{OutputTokens: tokens, Events: tokens / tokensPerEvent, Duration: took(random, tokens/tokensPerEvent)})
	}
	return e
}

// took returns how long events take at an engine that is more or less busy.
func took(random *rand.Rand, events int) time.Duration {
	return time.Duration(float64(events-1) * float64(eventGap) * (1 + random.Float64()/2))
}

func TestNothingIsSaidBeforeEnoughIsKnown(t *testing.T) {
	is := is.New(t)
	e := learned(rand.New(rand.NewPCG(1, 1)), leastSeen-1)
	is.Equal(e.MinRemainingTime(100_000, 0), time.Duration(0))
	e.Observe(CompletedGeneration{Events: 1, OutputTokens: 5, Duration: time.Second}) // a single event has no pace
	is.Equal(e.MinRemainingTime(100_000, 0), time.Duration(0))
}

// TestCallersThatCanBeServedAreNotTurnedAway plays the callers that come again with
// what is left of 25 s after 18 s of silence. Turning away is right when the rest
// takes longer than the caller has.
func TestCallersThatCanBeServedAreNotTurnedAway(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 3))
	e := learned(random, 200)
	wrong, turned, hopeless := 0, 0, 0
	for range 2000 {
		tokens := 200 + random.IntN(800)
		events := tokens / tokensPerEvent
		position := random.IntN(events)
		left := time.Duration(random.Float64() * float64(7*time.Second))
		needed := took(random, events-position+1)
		if needed > left {
			hopeless++
		}
		if e.MinRemainingTime(tokens, uint64(position)) <= left {
			continue
		}
		turned++
		if needed <= left {
			wrong++
		}
	}
	t.Logf("%d of %d that can't be served were turned away, and %d that could", turned-wrong, hopeless, wrong)
	is.Equal(wrong, 0)
	is.True(2*turned > hopeless)
}

func TestLeastNeverGrowsWithThePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		e := learned(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), rapid.IntRange(0, 50).Draw(t, "seen"))
		tokens := rapid.IntRange(0, 5000).Draw(t, "tokens")
		before := rapid.Uint64Range(0, 2000).Draw(t, "position")
		after := before + rapid.Uint64Range(0, 2000).Draw(t, "more")
		is.True(e.MinRemainingTime(tokens, after) <= e.MinRemainingTime(tokens, before))
		is.True(e.MinRemainingTime(tokens, after) >= 0)
		is.True(e.MinRemainingTime(tokens+1, before) >= e.MinRemainingTime(tokens, before))
	})
}
