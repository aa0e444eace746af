// Package resumecost measures the extra use of recovery under the cost
// objective, beside the latency objective under the same losses.
package resumecost

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/recovery"
)

// Bounds of the design.
const (
	// boundMax is in milliseconds.
	boundMax = 5000
	// boundRatio is the extra use as a part of the latency objective's.
	boundRatio = 0.5
)

// Experiment is resume-cost.
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
			experiment.AtMost("resume latency, worst", "ms", boundMax, recovery.QuantileMilliseconds(cost.Latencies, recovery.Maximum)),
			experiment.AtMost("extra tokens of cost / of latency", "ratio", boundRatio, recovery.Ratio(cost.ExtraTokenRatio(), latency.ExtraTokenRatio())),
			experiment.AtMost("cross-region bytes of cost / of latency", "ratio", boundRatio, recovery.Ratio(cost.ExtraByteRatio(), latency.ExtraByteRatio())),
			experiment.AtMost("incomplete answers", "answers", 0, float64(cost.Incomplete)),
		},
	}, ctx.Err()
}
