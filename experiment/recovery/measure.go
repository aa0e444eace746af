package recovery

import (
	"context"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// generationsPerLoss is the number of generations for each kind of loss at
// scale 1.
const generationsPerLoss = 300

// Measure is what one objective showed over all kinds of loss.
type Measurement struct {
	Objective estate.Objective
	// Latencies of all generations, in order.
	Latencies []time.Duration
	// ByLoss holds the latencies of each kind of loss, in order.
	LatenciesByFailure map[Failure][]time.Duration
	// Delivered, Wasted and Prefilled count tokens: those that callers got,
	// those that engines produced beside them, and those of prefixes that
	// engines processed again.
	DeliveredTokens int
	DiscardedTokens int
	// WastedByLoss splits Wasted by the kind of loss.
	DiscardedByFailure map[Failure]int
	RepeatedPrefill    int
	// DeliveredBytes and CrossRegionBytes count bytes.
	DeliveredBytes   int
	CrossRegionBytes int
	// CrossRegionByLoss splits CrossRegionBytes by the kind of loss.
	CrossRegionBytesByFailure map[Failure]int
	// Incomplete counts answers that were not whole and right.
	Incomplete int
}

// Run measures one objective.
func Run(ctx context.Context, objective estate.Objective, options experiment.Options) Measurement {
	measure := Measurement{
		Objective: objective, LatenciesByFailure: make(map[Failure][]time.Duration),
		DiscardedByFailure: make(map[Failure]int), CrossRegionBytesByFailure: make(map[Failure]int),
	}
	count := max(1, int(generationsPerLoss*options.Scale))
	policy := policyOf(objective)
	for index, loss := range Failures() {
		for i := range count {
			if ctx.Err() != nil {
				return measure
			}
			measure.add(runTrial(policy, loss, options.Seed<<32+uint64(index)<<24+uint64(i)))
		}
		slices.Sort(measure.LatenciesByFailure[loss])
	}
	slices.Sort(measure.Latencies)
	return measure
}

func (m *Measurement) add(r *trial) {
	if !r.complete || r.wrong {
		m.Incomplete++
	}
	m.Latencies = append(m.Latencies, r.gap)
	m.LatenciesByFailure[r.loss] = append(m.LatenciesByFailure[r.loss], r.gap)
	m.DeliveredTokens += r.delivered
	m.DiscardedTokens += r.computed() - r.delivered
	m.DiscardedByFailure[r.loss] += r.computed() - r.delivered
	m.RepeatedPrefill += r.prefilled()
	m.DeliveredBytes += r.bytes
	m.CrossRegionBytes += r.instance.CrossRegionBytes
	m.CrossRegionBytesByFailure[r.loss] += r.instance.CrossRegionBytes
}

// ExtraTokens is the tokens that engines processed beside the delivered ones,
// prefixes included, for each delivered token.
func (m *Measurement) ExtraTokenRatio() float64 {
	return float64(m.DiscardedTokens+m.RepeatedPrefill) / float64(m.DeliveredTokens)
}

// ExtraBytes is the cross-region bytes for each delivered byte.
func (m *Measurement) ExtraByteRatio() float64 {
	return float64(m.CrossRegionBytes) / float64(m.DeliveredBytes)
}

// Quantile returns a quantile of sorted latencies in milliseconds.
func QuantileMilliseconds(sorted []time.Duration, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(len(sorted)-1, int(quantile*float64(len(sorted))))
	return float64(sorted[index]) / float64(time.Millisecond)
}
