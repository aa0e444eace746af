// Package resumecost measures the extra tokens and bytes of recovery under the cost objective,
// compared with the latency objective under the same failures.
package resumecost

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/recovery"
)

// Bounds of the design.
const (
	// maxLatencyMs bounds the resume latency, in milliseconds.
	maxLatencyMs = 5000
	// maxExtraUseRatio bounds the extra tokens and bytes divided by those of the latency
	// objective.
	maxExtraUseRatio = 0.5
)

// Experiment compares the extra use of the cost objective with the latency objective.
var Experiment = experiment.Experiment{
	Name:    "resume-cost",
	Summary: "extra use and resume latency of the cost objective beside the latency objective",
	Run:     run,
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	cost := recovery.Run(ctx, estate.ObjectiveCost, options)
	latency := recovery.Run(ctx, estate.ObjectiveLatency, options)
	return experiment.Report{
		Experiment: "resume-cost",
		Seed:       options.Seed,
		Settings:   recovery.Settings(),
		Figures:    append(cost.Figures(), latency.Figures()...),
		Targets: []experiment.Target{
			experiment.AtMost("resume latency, worst", "ms", maxLatencyMs, recovery.QuantileMilliseconds(cost.Latencies, recovery.Maximum)),
			experiment.AtMost("extra tokens of cost / of latency", "ratio", maxExtraUseRatio, recovery.Ratio(cost.ExtraTokenRatio(), latency.ExtraTokenRatio())),
			experiment.AtMost("cross-region bytes of cost / of latency", "ratio", maxExtraUseRatio, recovery.Ratio(cost.ExtraByteRatio(), latency.ExtraByteRatio())),
			experiment.AtMost("incomplete answers", "answers", 0, float64(cost.Incomplete)),
		},
	}, ctx.Err()
}
