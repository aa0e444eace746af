package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// eventGap and tokensPerEvent are those of the users' engines: a step of 6.35 ms
// and five tokens per event.
const (
	eventGap       = 32 * time.Millisecond
	tokensPerEvent = 5
)

// learned returns an estimator that has observed generations like the users': 600
// tokens on average, event intervals up to 50 % longer than the usual one.
func learned(random *rand.Rand, count int) *Estimator {
	e := &Estimator{}
	for range count {
		tokens := 200 + random.IntN(800)
		e.Observe(Generation{OutputTokens: tokens, Events: tokens / tokensPerEvent, Took: took(random, tokens/tokensPerEvent)})
	}
	return e
}

// took returns the time that events take at an engine under a random load.
func took(random *rand.Rand, events int) time.Duration {
	return time.Duration(float64(events-1) * float64(eventGap) * (1 + random.Float64()/2))
}

func TestNothingIsSaidBeforeEnoughIsKnown(t *testing.T) {
	is := is.New(t)
	e := learned(rand.New(rand.NewPCG(1, 1)), leastSeen-1)
	is.Equal(e.Least(100_000, 0), time.Duration(0))
	e.Observe(Generation{Events: 1, OutputTokens: 5, Took: time.Second}) // a single event has no interval
	is.Equal(e.Least(100_000, 0), time.Duration(0))
}

// TestCallersThatCanBeServedAreNotTurnedAway draws callers that resume after 18 s of
// silence with the rest of 25 s as their remaining time. None whose remaining events
// fit may be rejected, and more than half of those that don't fit must be.
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
		if e.Least(tokens, uint64(position)) <= left {
			continue
		}
		turned++
		if needed <= left {
			wrong++
		}
	}
	t.Logf("%d of %d callers that can't be served were rejected, and %d that could", turned-wrong, hopeless, wrong)
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
		is.True(e.Least(tokens, after) <= e.Least(tokens, before))
		is.True(e.Least(tokens, after) >= 0)
		is.True(e.Least(tokens+1, before) >= e.Least(tokens, before))
	})
}
