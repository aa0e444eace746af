package share_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSumOfSharesStaysWithinTheLimit guards against instances that together admit
// more than the limit, under any loss, delay, change of demand and partition,
// including partitions in one direction only.
func TestSumOfSharesStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		dataCentres := rapid.SliceOfN(rapid.SampledFrom([]string{"d1", "d2", "d3"}), 1, 9).Draw(t, "instances")
		x := newExchange(rapid.IntRange(0, 60).Draw(t, "limit"), rapid.Uint64().Draw(t, "seed"), dataCentres...)
		x.fixed = true
		x.loss = float64(rapid.IntRange(0, 4).Draw(t, "loss")) / 10
		place := rapid.SampledFrom([]string{"d1", "d2", "d3"})
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					x.advance()
					is.True(x.sum() <= x.limit) // the sum is within the limit
				}
			},
			"demand": func(t *rapid.T) {
				rapid.SampledFrom(x.nodes).Draw(t, "instance").demand = rapid.IntRange(0, 80).Draw(t, "demand")
			},
			"partition": func(t *rapid.T) {
				a, b := place.Draw(t, "from"), place.Draw(t, "to")
				if a == b {
					t.Skip("same data centre")
				}
				x.cut[[2]string{a, b}] = true
				if rapid.Bool().Draw(t, "both ways") {
					x.cut[[2]string{b, a}] = true
				}
			},
			"heal": func(*rapid.T) { clear(x.cut) },
		})
	})
}

// TestMemberChangesExceedTheLimitBriefly checks that each change of the members
// lets the sum exceed the limit for two periods at most.
func TestMemberChangesExceedTheLimitBriefly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		x := newExchange(rapid.IntRange(1, 60).Draw(t, "limit"), rapid.Uint64().Draw(t, "seed"), "d1", "d1", "d1", "d2", "d2", "d3")
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(*rapid.T) { x.run(5 * period) },
			"demand": func(t *rapid.T) {
				rapid.SampledFrom(x.nodes).Draw(t, "instance").demand = rapid.IntRange(0, 80).Draw(t, "demand")
			},
			"pause":    func(t *rapid.T) { rapid.SampledFrom(x.nodes).Draw(t, "instance").paused = true },
			"continue": func(t *rapid.T) { rapid.SampledFrom(x.nodes).Draw(t, "instance").paused = false },
			"die":      func(t *rapid.T) { rapid.SampledFrom(x.nodes).Draw(t, "instance").stopped = true },
			"start":    func(t *rapid.T) { x.add(rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "place")) },
			"":         func(*rapid.T) { is.True(x.maxAbove <= 2*period) },
		})
	})
}

func TestDemandMovesTheWholeLimit(t *testing.T) {
	for _, count := range []int{1, 8, 64} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			dataCentres := make([]string, count)
			for i := range dataCentres {
				dataCentres[i] = fmt.Sprint("d", i%3)
			}
			x := newExchange(5, 1, dataCentres...)
			x.run(10 * period)
			is.Equal(x.sum(), 5) // nothing is lost to rounding
			x.nodes[count-1].demand = 9
			x.run(10 * period)
			is.Equal(x.nodes[count-1].holder.Share(), 5) // the whole limit follows the demand
		})
	}
}

func TestCutOffDataCentreKeepsItsShare(t *testing.T) {
	is := is.New(t)
	x := newExchange(60, 1, "d1", "d1", "d2")
	x.nodes[0].demand, x.nodes[2].demand = 40, 20
	x.run(10 * period)
	is.Equal(x.nodes[2].holder.Share(), 20)
	x.cut[[2]string{"d1", "d2"}], x.cut[[2]string{"d2", "d1"}] = true, true
	x.run(5 * period) // the partition is detected
	x.nodes[0].demand, x.nodes[1].demand = 0, 80
	x.run(100 * period)
	is.Equal(x.nodes[2].holder.Share(), 20) // kept
	is.Equal(x.nodes[1].holder.Share(), 40) // passed on within the data centre
	clear(x.cut)
	x.nodes[2].demand = 0
	x.run(10 * period)
	is.Equal(x.nodes[1].holder.Share(), 60)
}

func TestLoweredLimitHoldsWithinTwoPeriods(t *testing.T) {
	is := is.New(t)
	x := newExchange(60, 1, "d1", "d1", "d2", "d2", "d3")
	x.run(10 * period)
	is.Equal(x.sum(), 60)
	x.limit = 7
	x.run(2*period + step)
	is.True(x.sum() <= 7)
	x.run(10 * period)
	is.Equal(x.sum(), 7)
}
