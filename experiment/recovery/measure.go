package recovery

import (
	"context"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// generationsPerFailure is the number of generations for each kind of failure at scale 1.
const generationsPerFailure = 300

// Measurement holds the results of one objective over all kinds of failure.
type Measurement struct {
	Objective estate.Objective
	// Latencies holds the resume latencies of all generations in ascending order.
	Latencies []time.Duration
	// LatenciesByFailure holds Latencies by kind of failure, each in ascending order.
	LatenciesByFailure map[Failure][]time.Duration
	// DeliveredTokens counts the tokens that callers received.
	DeliveredTokens int
	// DiscardedTokens counts the tokens that engines produced and no caller received.
	DiscardedTokens int
	// DiscardedByFailure holds DiscardedTokens by kind of failure.
	DiscardedByFailure map[Failure]int
	// RepeatedPrefill counts the tokens of prefixes that engines processed again.
	RepeatedPrefill int
	// DeliveredBytes counts the bytes of events that callers received.
	DeliveredBytes int
	// CrossRegionBytes counts the bytes sent between regions.
	CrossRegionBytes int
	// CrossRegionBytesByFailure holds CrossRegionBytes by kind of failure.
	CrossRegionBytesByFailure map[Failure]int
	// Incomplete counts the answers that were incomplete or had a wrong token.
	Incomplete int
}

// Run measures one objective. When the context ends, it returns what it has measured so far, with
// the latencies unsorted.
func Run(ctx context.Context, objective estate.Objective, options experiment.Options) Measurement {
	measure := Measurement{
		Objective: objective, LatenciesByFailure: make(map[Failure][]time.Duration),
		DiscardedByFailure: make(map[Failure]int), CrossRegionBytesByFailure: make(map[Failure]int),
	}
	count := max(1, int(generationsPerFailure*options.Scale))
	policy := policyFor(objective)
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
	if !r.complete || r.hasWrongToken {
		m.Incomplete++
	}
	m.Latencies = append(m.Latencies, r.resumeLatency)
	m.LatenciesByFailure[r.failure] = append(m.LatenciesByFailure[r.failure], r.resumeLatency)
	m.DeliveredTokens += r.deliveredTokens
	m.DiscardedTokens += r.computedTokens() - r.deliveredTokens
	m.DiscardedByFailure[r.failure] += r.computedTokens() - r.deliveredTokens
	m.RepeatedPrefill += r.repeatedPrefill()
	m.DeliveredBytes += r.deliveredBytes
	m.CrossRegionBytes += r.instance.CrossRegionBytes
	m.CrossRegionBytesByFailure[r.failure] += r.instance.CrossRegionBytes
}

// ExtraTokenRatio returns the tokens that engines processed in addition to the delivered ones,
// repeated prefills included, per delivered token.
func (m *Measurement) ExtraTokenRatio() float64 {
	return float64(m.DiscardedTokens+m.RepeatedPrefill) / float64(m.DeliveredTokens)
}

// ExtraByteRatio returns the cross-region bytes per delivered byte.
func (m *Measurement) ExtraByteRatio() float64 {
	return float64(m.CrossRegionBytes) / float64(m.DeliveredBytes)
}

// QuantileMilliseconds returns a quantile of sorted latencies in milliseconds, and 0 when there
// are none.
func QuantileMilliseconds(sorted []time.Duration, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(len(sorted)-1, int(quantile*float64(len(sorted))))
	return float64(sorted[index]) / float64(time.Millisecond)
}
