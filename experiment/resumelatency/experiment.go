// Package resumelatency measures how long the caller of an interrupted answer waits for its next
// token under the latency objective.
package resumelatency

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/recovery"
)

// Bounds of the resume latency in the design, in milliseconds.
const (
	maxP95LatencyMs = 1000
	maxLatencyMs    = 5000
)

// Experiment measures the resume latency of the latency objective.
var Experiment = experiment.Experiment{
	Name:    "resume-latency",
	Summary: "resume latency and extra use of the latency objective under every kind of loss",
	Run:     run,
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	latency := recovery.Run(ctx, estate.ObjectiveLatency, options)
	return experiment.Report{
		Experiment: "resume-latency",
		Seed:       options.Seed,
		Settings:   recovery.Settings(),
		Figures:    latency.Figures(),
		Targets: []experiment.Target{
			experiment.AtMost("resume latency, 95%", "ms", maxP95LatencyMs, recovery.QuantileMilliseconds(latency.Latencies, recovery.P95)),
			experiment.AtMost("resume latency, worst", "ms", maxLatencyMs, recovery.QuantileMilliseconds(latency.Latencies, recovery.Maximum)),
			experiment.AtMost("incomplete answers", "answers", 0, float64(latency.Incomplete)),
		},
	}, ctx.Err()
}
