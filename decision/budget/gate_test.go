package budget_test

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/budget"
	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	fixedseed.Apply()
	os.Exit(m.Run())
}

func newGate(config budget.Config, seed uint64) *budget.Gate {
	return budget.NewGate(config, rand.New(rand.NewPCG(seed, 1)))
}

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	is := is.New(t)
	gate := newGate(budget.Config{}, 1)
	now := start
	for range budget.DefaultFailureThreshold {
		is.True(gate.Admit(now, budget.Read).Allowed)
		gate.Done(now, budget.Read, budget.Failed)
	}
	refused := gate.Admit(now, budget.Read)
	is.True(!refused.Allowed && refused.BreakerOpen)
	now = now.Add(refused.Wait)
	is.True(gate.Admit(now, budget.Read).Allowed)  // the probe
	is.True(!gate.Admit(now, budget.Read).Allowed) // one at a time
	gate.Done(now, budget.Read, budget.Failed)
	again := gate.Admit(now, budget.Read)
	is.True(!again.Allowed)
	now = now.Add(budget.DefaultMaxPause)
	is.True(gate.Admit(now, budget.Watch).Allowed)
	gate.Done(now, budget.Watch, budget.Answered)
	is.True(gate.Admit(now, budget.Read).Allowed)
	is.True(!gate.Status().Open)
}

func TestRateLimitOfThePlatformPauses(t *testing.T) {
	is := is.New(t)
	gate := newGate(budget.Config{}, 1)
	is.True(gate.Admit(start, budget.Write).Allowed)
	gate.Done(start, budget.Write, budget.RateLimited)
	verdict := gate.Admit(start, budget.Read)
	is.True(!verdict.Allowed && !verdict.BreakerOpen)
	is.True(gate.Admit(start.Add(verdict.Wait), budget.Read).Allowed)
}

// TestCallsStayInTheBudget lets calls arrive and end at any time: those sent
// in any span stay within rate and burst, and never too many are under way.
func TestCallsStayInTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		config := budget.Config{ReadsPerSecond: 10, WritesPerSecond: 5, MaxInFlight: 4}.WithDefaults()
		gate := newGate(config, rapid.Uint64().Draw(t, "seed"))
		now, underWay := start, 0
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if underWay > 0 && rapid.Bool().Draw(t, "end") {
				outcome := budget.Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))
				gate.Done(now, budget.Read, outcome)
				underWay--
				continue
			}
			if verdict := gate.Admit(now, budget.Read); verdict.Allowed {
				is.True(verdict.Wait <= config.MaxWait)
				sent = append(sent, now.Add(verdict.Wait))
				underWay++
				is.True(underWay <= config.MaxInFlight)
			}
		}
		if len(sent) > 0 {
			span := sent[len(sent)-1].Sub(start).Seconds()
			is.True(float64(len(sent)) <= config.ReadsPerSecond*(config.BurstSeconds+span)+1)
		}
	})
}

func TestGateRecoversFromAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := newGate(budget.Config{}, rapid.Uint64().Draw(t, "seed"))
		now := start
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			class := budget.Class(rapid.IntRange(1, 3).Draw(t, "class"))
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if gate.Admit(now, class).Allowed {
				gate.Done(now, class, budget.Outcome(rapid.IntRange(1, 4).Draw(t, "outcome")))
			}
		}
		now = now.Add(budget.DefaultMaxPause)
		if !gate.Admit(now, budget.Read).Allowed {
			t.Fatal("the gate stays closed after the longest pause")
		}
	})
}
