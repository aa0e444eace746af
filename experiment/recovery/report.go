package recovery

import (
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// Quantiles that the reports use.
const (
	Median  = 0.5
	P95     = 0.95
	Maximum = 1
)

// Settings returns the settings of the trials.
func Settings() []experiment.Setting {
	return []experiment.Setting{
		{Name: "engines", Value: strconv.Itoa(engines)},
		{Name: "token_time", Value: tokenTime.String()},
		{Name: "answer_tokens", Value: strconv.Itoa(answerTokens)},
		{Name: "generations_per_loss", Value: strconv.Itoa(generationsPerFailure)},
	}
}

// Figures returns the figures of one objective; their names begin with it.
func (m *Measurement) Figures() []experiment.Figure {
	name := string(m.Objective) + "/"
	figures := []experiment.Figure{
		{Name: name + "resume_latency_p50", Value: QuantileMilliseconds(m.Latencies, Median), Unit: "ms"},
		{Name: name + "resume_latency_p95", Value: QuantileMilliseconds(m.Latencies, P95), Unit: "ms"},
		{Name: name + "resume_latency_max", Value: QuantileMilliseconds(m.Latencies, Maximum), Unit: "ms"},
	}
	for _, loss := range Failures() {
		figures = append(figures,
			experiment.Figure{Name: name + string(loss) + "/p95", Value: QuantileMilliseconds(m.LatenciesByFailure[loss], P95), Unit: "ms"},
			experiment.Figure{Name: name + string(loss) + "/max", Value: QuantileMilliseconds(m.LatenciesByFailure[loss], Maximum), Unit: "ms"},
			experiment.Figure{Name: name + string(loss) + "/discarded", Value: float64(m.DiscardedByFailure[loss]) / float64(m.DeliveredTokens), Unit: "tokens/delivered token"},
			experiment.Figure{Name: name + string(loss) + "/cross_region_bytes", Value: float64(m.CrossRegionBytesByFailure[loss]) / float64(m.DeliveredBytes), Unit: "bytes/delivered byte"},
		)
	}
	return append(figures,
		experiment.Figure{Name: name + "extra_tokens", Value: m.ExtraTokenRatio(), Unit: "tokens/delivered token"},
		experiment.Figure{Name: name + "discarded", Value: float64(m.DiscardedTokens) / float64(m.DeliveredTokens), Unit: "tokens/delivered token"},
		experiment.Figure{Name: name + "prefilled_again", Value: float64(m.RepeatedPrefill) / float64(m.DeliveredTokens), Unit: "tokens/delivered token"},
		experiment.Figure{Name: name + "cross_region_bytes", Value: m.ExtraByteRatio(), Unit: "bytes/delivered byte"},
		experiment.Figure{Name: name + "incomplete_answers", Value: float64(m.Incomplete), Unit: "answers"},
	)
}

// Ratio returns a/b, and 0 when a is 0, even if b is 0 too. With b = 0 and a > 0 it returns +Inf.
func Ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}
