package limits

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// Experiment measures for how long limits are exceeded, and fairness and goodput
// under overload.
var Experiment = experiment.Experiment{
	Name:    "limits",
	Summary: "client account limits over 1, 8 and 64 instances and through a partition; fairness and goodput under overload",
	Run:     run,
}

// Targets of the experiment.
const (
	// maxIntervalsAbove bounds the time, in report intervals, for which shares
	// exceed a limit.
	maxIntervalsAbove = 2.0
	// minGoodput is the least ratio of the goodput at three times capacity to
	// that at capacity.
	minGoodput = 0.9
	// minSmallAnswered is the least fraction of a small account's requests that must be
	// answered while a large account overloads the instances.
	minSmallAnswered = 0.9
)

func scenarios() []scenario {
	return []scenario{
		{name: "1 instance", instances: 1, limit: 200},
		{name: "8 instances", instances: 8, limit: 200, restarts: true},
		{name: "8 instances, small limit", instances: 8, limit: 5, restarts: true},
		{name: "64 instances", instances: 64, limit: 4000, restarts: true},
		{name: "64 instances, small limit", instances: 64, limit: 20, restarts: true},
		{name: "8 instances, partition", instances: 8, limit: 200, partitioned: true},
		{name: "64 instances, partition", instances: 64, limit: 4000, partitioned: true, restarts: true},
	}
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	report := experiment.Report{Experiment: "limits", Seed: options.Seed, Settings: settingsUsed(options.Scale)}
	for _, s := range scenarios() {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		x := newExchange(s, options.Seed, scaled(exchangeTime, options.Scale))
		x.run()
		report.Figures = append(report.Figures, experiment.Figure{Name: s.name + ": used of what was wanted within the limit", Value: x.served / max(1, x.servable), Unit: "ratio"})
		report.Targets = append(report.Targets, experiment.AtMost(s.name+": longest time above the limit", "periods", maxIntervalsAbove, float64(x.maxTimeAbove)/float64(reportInterval)))
	}
	addOverload(&report, options)
	return report, nil
}

func addOverload(report *experiment.Report, options experiment.Options) {
	length := scaled(overloadTime, options.Scale)
	build := func(offered float64, kind func(int, uint64) gate) *overload {
		o := newOverload(options.Seed, offered, length, kind)
		o.run()
		return o
	}
	at, over := build(1, newControlled), build(overloadFactor, newControlled)
	simple := build(overloadFactor, newUnlimited)
	report.Figures = append(report.Figures,
		experiment.Figure{Name: "goodput at capacity", Value: at.goodput(), Unit: "answers/s"},
		experiment.Figure{Name: "goodput at three times capacity", Value: over.goodput(), Unit: "answers/s"},
		experiment.Figure{Name: "goodput at three times capacity without admission", Value: simple.goodput(), Unit: "answers/s"},
		experiment.Figure{Name: "least answered part of a small account without admission", Value: simple.minSmallAnswered(), Unit: "ratio"},
	)
	report.Targets = append(report.Targets,
		experiment.AtLeast("goodput at three times capacity over the one at capacity", "ratio", minGoodput, over.goodput()/at.goodput()),
		experiment.AtLeast("least answered part of a small account beside a large one", "ratio", minSmallAnswered, over.minSmallAnswered()),
	)
}

func scaled(length time.Duration, scale float64) time.Duration {
	return time.Duration(float64(length) * scale)
}
