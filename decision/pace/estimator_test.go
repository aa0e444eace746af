package pace

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// eventInterval and tokensPerEvent are those of the users' engines: a step of
// 6.35 ms and five tokens per event.
var begin = time.Unix(1_700_000_000, 0)

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
	is.Equal(e.MinTimeToEnd(begin, 0, 100_000, 0), time.Duration(0))
	e.Observe(CompletedGeneration{Events: 1, OutputTokens: 5, Duration: time.Second}) // a single event has no interval
	is.Equal(e.MinTimeToEnd(begin, 0, 100_000, 0), time.Duration(0))
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
		if e.MinTimeToEnd(begin, 0, tokens, uint64(position)) <= remaining {
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
		is.True(e.MinTimeToEnd(begin, 0, tokens, after) <= e.MinTimeToEnd(begin, 0, tokens, before))
		is.True(e.MinTimeToEnd(begin, 0, tokens, after) >= 0)
		is.True(e.MinTimeToEnd(begin, 0, tokens+1, before) >= e.MinTimeToEnd(begin, 0, tokens, before))
	})
}

// TestInstancesLearnFromEachOther lets many instances see one generation each, as soon after all of
// them were started: together they know as much as one that saw all generations.
func TestInstancesLearnFromEachOther(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(4, 5))
	alone := &Estimator{}
	own := trainedEstimator(random, 1)
	for n := range 40 {
		is.Equal(own.MinTimeToEnd(begin, 0, 600, 0) > 0, n+1 >= minGenerations)
		own.SetPeerReport(begin, strconv.Itoa(n), trainedEstimator(random, 1).Report())
	}
	for range 41 {
		alone.Observe(CompletedGeneration{OutputTokens: 600, Events: 120, Duration: drawDuration(random, 120)})
	}
	together, single := own.MinTimeToEnd(begin, 0, 600, 0), alone.MinTimeToEnd(begin, 0, 600, 0)
	is.True(together > single/2 && together < 2*single)
	is.Equal(own.MinTimeToEnd(begin.Add(2*peerReportLifetime), 0, 600, 0), time.Duration(0)) // the reports are too old
}

// TestReadTimeIsALowEstimate lets prompts wait before they are read, each up to twice its own time.
func TestReadTimeIsALowEstimate(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(6, 7))
	e := &Estimator{}
	is.Equal(e.MinTimeToEnd(begin, 8000, 0, 0), time.Duration(0))
	for range 100 {
		e.Observe(CompletedGeneration{OutputTokens: 600, Events: 120, Duration: 4 * time.Second, PromptTokens: 8000, ReadTime: time.Duration((1 + 2*random.Float64()) * float64(time.Second))})
	}
	is.True(e.MinTimeToEnd(begin, 8000, 0, 0) > 500*time.Millisecond)
	is.True(e.MinTimeToEnd(begin, 8000, 0, 0) <= 1100*time.Millisecond)
}

func TestUnusableReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	for n, report := range []Report{
		{Observed: 100}, {Observed: -5, EventInterval: 1, EventsPerToken: 1}, {Observed: 50, EventInterval: -1, EventsPerToken: 1},
		{Observed: 50, EventInterval: 1, EventsPerToken: 1, EventsPerTokenDeviation: -1},
	} {
		e.SetPeerReport(begin, strconv.Itoa(n), report)
	}
	is.Equal(e.MinTimeToEnd(begin, 0, 100_000, 0), time.Duration(0))
}
