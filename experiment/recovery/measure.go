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

// Measure holds the results of one objective over all kinds of failure.
type Measure struct {
	Objective estate.Objective
	// Latencies holds the resume latencies of all generations in ascending order.
	Latencies []time.Duration
	// ByLoss holds Latencies by kind of failure, each in ascending order.
	ByLoss map[Loss][]time.Duration
	// Delivered counts the tokens that callers received.
	Delivered int
	// Wasted counts the tokens that engines produced and no caller received.
	Wasted int
	// WastedByLoss holds Wasted by kind of failure.
	WastedByLoss map[Loss]int
	// Prefilled counts the tokens of prefixes that engines processed again.
	Prefilled int
	// DeliveredBytes counts the bytes of events that callers received.
	DeliveredBytes int
	// CrossRegionBytes counts the bytes sent between regions.
	CrossRegionBytes int
	// CrossRegionByLoss holds CrossRegionBytes by kind of failure.
	CrossRegionByLoss map[Loss]int
	// Incomplete counts the answers that were incomplete or had a wrong token.
	Incomplete int
}

// Run measures one objective. When the context ends, it returns what it has measured so far, with
// the latencies unsorted.
func Run(ctx context.Context, objective estate.Objective, options experiment.Options) Measure {
	measure := Measure{
		Objective: objective, ByLoss: make(map[Loss][]time.Duration),
		WastedByLoss: make(map[Loss]int), CrossRegionByLoss: make(map[Loss]int),
	}
	count := max(1, int(generationsPerFailure*options.Scale))
	policy := policyFor(objective)
	for index, loss := range Losses() {
		for i := range count {
			if ctx.Err() != nil {
				return measure
			}
			measure.add(runTrial(policy, loss, options.Seed<<32+uint64(index)<<24+uint64(i)))
		}
		slices.Sort(measure.ByLoss[loss])
	}
	slices.Sort(measure.Latencies)
	return measure
}

func (m *Measure) add(r *trial) {
	if !r.complete || r.hasWrongToken {
		m.Incomplete++
	}
	m.Latencies = append(m.Latencies, r.resumeLatency)
	m.ByLoss[r.failure] = append(m.ByLoss[r.failure], r.resumeLatency)
	m.Delivered += r.deliveredTokens
	m.Wasted += r.computedTokens() - r.deliveredTokens
	m.WastedByLoss[r.failure] += r.computedTokens() - r.deliveredTokens
	m.Prefilled += r.repeatedPrefill()
	m.DeliveredBytes += r.deliveredBytes
	m.CrossRegionBytes += r.instance.CrossRegionBytes
	m.CrossRegionByLoss[r.failure] += r.instance.CrossRegionBytes
}

// ExtraTokens returns the tokens that engines processed in addition to the delivered ones,
// repeated prefills included, per delivered token.
func (m *Measure) ExtraTokens() float64 {
	return float64(m.Wasted+m.Prefilled) / float64(m.Delivered)
}

// ExtraBytes returns the cross-region bytes per delivered byte.
func (m *Measure) ExtraBytes() float64 {
	return float64(m.CrossRegionBytes) / float64(m.DeliveredBytes)
}

// Quantile returns a quantile of sorted latencies in milliseconds, and 0 when there are none.
func Quantile(sorted []time.Duration, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(len(sorted)-1, int(quantile*float64(len(sorted))))
	return float64(sorted[index]) / float64(time.Millisecond)
}
