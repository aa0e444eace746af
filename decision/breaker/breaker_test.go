package breaker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/breaker"
)

func newBreaker() *breaker.Breaker {
	return breaker.New(breaker.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
}

func TestOpensAfterConsecutiveFailuresOnly(t *testing.T) {
	is := is.New(t)
	b := newBreaker()
	for _, outcome := range []breaker.Outcome{breaker.Failure, breaker.Failure, breaker.Success, breaker.Failure, breaker.Failure, breaker.Neutral} {
		b.Ended(0, b.Sent(0), outcome)
		is.Equal(b.State(0), breaker.Closed)
	}
	b.Ended(0, b.Sent(0), breaker.Failure)
	is.Equal(b.State(0), breaker.Open)
}

func TestLongProbeClosesWithoutItsEnd(t *testing.T) {
	is := is.New(t)
	b := newBreaker()
	for range 3 {
		b.Ended(0, b.Sent(0), breaker.Failure)
	}
	is.True(b.Sent(time.Second))
	is.True(!b.Allows(2 * time.Second))
	is.True(b.Allows(time.Second + breaker.DefaultConfig().ProbeSuccessAfter))
}

func TestLateSuccessOfAnOldAttemptDoesNotClose(t *testing.T) {
	is := is.New(t)
	b := newBreaker()
	old := b.Sent(0)
	for range 3 {
		b.Ended(0, b.Sent(0), breaker.Failure)
	}
	b.Ended(0, old, breaker.Success)
	is.Equal(b.State(0), breaker.Open)
	b.Ended(time.Second, old, breaker.Success)
	is.Equal(b.State(time.Second), breaker.HalfOpen)
}

// attempt is one running attempt as the oracle sees it.
type attempt struct {
	probe bool
	sent  time.Duration
}

// The oracle knows the attempts and their ends: after the threshold of
// consecutive failures nothing passes for half the shortest wait, and then at
// most one attempt passes within ProbeSettled until one ends.
func TestProperties(t *testing.T) {
	config := breaker.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		b := breaker.New(config, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := time.Duration(0)
		consecutive := 0
		openedAt := time.Duration(-1)
		var running []attempt
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			},
			"send": func(t *rapid.T) {
				if !b.Allows(now) {
					t.Skip("not allowed")
				}
				if openedAt >= 0 {
					is.True(now >= openedAt+config.OpenWait/2) // no attempt right after opening
				}
				if b.State(now) == breaker.HalfOpen {
					for _, other := range running {
						is.True(!other.probe || now-other.sent >= config.ProbeSuccessAfter) // one probe at a time
					}
				}
				probe := b.Sent(now)
				running = append(running, attempt{probe, now})
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("none runs")
				}
				index := rapid.IntRange(0, len(running)-1).Draw(t, "index")
				ended := running[index]
				running = append(running[:index], running[index+1:]...)
				outcome := rapid.SampledFrom([]breaker.Outcome{breaker.Neutral, breaker.Success, breaker.Failure}).Draw(t, "outcome")
				before := b.State(now)
				b.Ended(now, ended.probe, outcome)
				switch {
				case before != breaker.Closed && !ended.probe:
				case outcome == breaker.Failure:
					consecutive++
				case outcome == breaker.Success:
					consecutive, openedAt = 0, -1
				}
				if before == breaker.Closed && consecutive >= config.FailureThreshold {
					openedAt = now
					is.True(!b.Allows(now)) // opens at the threshold
				}
			},
			"": func(*rapid.T) {
				if b.State(now) == breaker.Closed && openedAt >= 0 {
					consecutive, openedAt = 0, -1
				}
				if b.State(now) == breaker.HalfOpen {
					openedAt = -1
					consecutive = 0
				}
			},
		})
	})
}
