package overhead

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// Experiment measures what an entry instance adds to token streams.
var Experiment = experiment.Experiment{
	Name:    "overhead",
	Summary: "added delay, tokens a second and processor time a token against the engine asked directly",
	Run:     run,
}

// Bounds.
const (
	// maxDelayAtShare bounds the 95th percentile of the token delay, in milliseconds. It applies
	// to the whole delay from the engine to the caller, including the part that direct requests
	// have too.
	maxDelayAtShare = 2.0
	// minSaturated bounds the token rate through the entry instance divided by the direct one.
	minSaturated = 0.5
	// percentile is the percentage of tokens that maxDelayAtShare applies to.
	percentile = 95
)

// paths holds the measurements of the direct path and of the one through the entry instance.
type paths struct {
	direct, entry *measurement
}

func newPaths() paths { return paths{newMeasurement(), newMeasurement()} }

func (p paths) failure() error { return errors.Join(p.direct.failure, p.entry.failure) }

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	report := experiment.Report{Experiment: "overhead", Seed: options.Seed, Settings: settingsUsed(options.Scale)}
	s, err := startSystem(ctx)
	if err != nil {
		return report, err
	}
	defer s.stop()
	direct, through := s.engine.address(), s.entry.Addresses().Callers
	length := time.Duration(float64(shareTime) * options.Scale)
	each := answersEach(options.Scale)
	share, saturated := newPaths(), newPaths()
	for range turns {
		share.direct.share(ctx, s, direct, options.Seed, length)
		share.entry.share(ctx, s, through, options.Seed, length)
		saturated.direct.saturate(ctx, s, direct, each)
		saturated.entry.saturate(ctx, s, through, each)
	}
	if err := errors.Join(share.failure(), saturated.failure()); err != nil {
		return report, err
	}
	report.Figures = figures(share, saturated)
	report.Targets = []experiment.Target{
		experiment.AtMost("delay of 95% of tokens at the share", "ms", maxDelayAtShare, share.entry.delayAt(percentile)),
		experiment.AtLeast("tokens/s at saturation over direct", "ratio", minSaturated, saturated.entry.rate()/saturated.direct.rate()),
	}
	return report, nil
}

func figures(share, saturated paths) []experiment.Figure {
	return []experiment.Figure{
		{Name: "share: tokens/s through the entry instance", Value: share.entry.rate(), Unit: "tokens/s"},
		{Name: "share: delay of 95% of tokens, direct", Value: share.direct.delayAt(percentile), Unit: "ms"},
		{Name: "share: delay of 99% of tokens", Value: share.entry.delayAt(99), Unit: "ms"},
		{Name: "share: processor time a token over direct", Value: share.entry.processorPerToken() / share.direct.processorPerToken(), Unit: "ratio"},
		{Name: "saturation: tokens/s, direct", Value: saturated.direct.rate(), Unit: "tokens/s"},
		{Name: "saturation: tokens/s through the entry instance", Value: saturated.entry.rate(), Unit: "tokens/s"},
		{Name: "saturation: processor time a token over direct", Value: saturated.entry.processorPerToken() / saturated.direct.processorPerToken(), Unit: "ratio"},
	}
}
