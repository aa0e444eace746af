package routing

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// Experiment compares the routing policies on the same requests.
var Experiment = experiment.Experiment{
	Name:    "routing",
	Summary: "routing policies side by side on cache hits, waiting time and herding under lagged reports",
	Run:     run,
}

// Bounds. The default policy must be the best of the compared policies on cache hits and on
// waiting time. It may load the server that owns a prefix up to the bound factor times the mean,
// so its herding may be that many times the one of two choices.
const (
	minHitsOverOther         = 1.0
	maxWaitOverOther         = 1.0
	maxHerdingOverTwoChoices = score.DefaultBoundFactor
)

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	report := experiment.Report{Experiment: "routing", Seed: options.Seed, Settings: settingsUsed(options.Scale)}
	results := make(map[string]result)
	requests := newWorkload(rand.New(rand.NewPCG(options.Seed, options.Seed))).draw(time.Duration(float64(runDuration) * options.Scale))
	for _, tested := range append(comparedPolicies(), correctionVariants()...) {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		s := newSimulation(tested, options.Seed)
		if err := s.run(requests); err != nil {
			return report, err
		}
		measured := s.result()
		results[tested.name] = measured
		report.Figures = append(report.Figures,
			experiment.Figure{Name: tested.name + ": cache hits", Value: measured.hitRatio, Unit: "of prompt blocks"},
			experiment.Figure{Name: tested.name + ": wait for the first token, 95%", Value: measured.waitMs, Unit: "ms"},
			experiment.Figure{Name: tested.name + ": fullest engine over the mean", Value: measured.herding, Unit: "ratio"},
		)
	}
	report.Targets = targets(results)
	return report, nil
}

func targets(results map[string]result) []experiment.Target {
	defaultResult := results[nameDefault]
	var all []experiment.Target
	for _, other := range comparedPolicies() {
		if other.name == nameDefault {
			continue
		}
		otherResult := results[other.name]
		all = append(all,
			experiment.AtLeast("cache hits of the default over "+other.name, "ratio", minHitsOverOther, defaultResult.hitRatio/otherResult.hitRatio),
			experiment.AtMost("wait of the default over "+other.name, "ratio", maxWaitOverOther, defaultResult.waitMs/otherResult.waitMs),
		)
	}
	return append(all, experiment.AtMost("herding of the default over two choices", "ratio", maxHerdingOverTwoChoices, defaultResult.herding/results[nameTwoChoices].herding))
}
