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
	// maxDelayMsAtShare bounds the 95th percentile of the token delay, in milliseconds. It
	// applies to the whole delay from the engine to the caller, including the part that direct
	// requests have too.
	maxDelayMsAtShare = 2.0
	// minSaturatedRateRatio bounds the token rate through the entry instance divided by the
	// direct one.
	minSaturatedRateRatio = 0.5
	// percentile is the percentage of tokens that maxDelayMsAtShare applies to.
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
	directAddress, entryAddress := s.engine.address(), s.entry.Addresses().Callers
	turnDuration := time.Duration(float64(shareDuration) * options.Scale)
	answerCount := answersPerStream(options.Scale)
	share, saturated := newPaths(), newPaths()
	for range turnsPerPath {
		share.direct.measureShare(ctx, s, directAddress, options.Seed, turnDuration)
		share.entry.measureShare(ctx, s, entryAddress, options.Seed, turnDuration)
		saturated.direct.measureSaturation(ctx, s, directAddress, answerCount)
		saturated.entry.measureSaturation(ctx, s, entryAddress, answerCount)
	}
	if err := errors.Join(share.failure(), saturated.failure()); err != nil {
		return report, err
	}
	report.Figures = figures(share, saturated)
	report.Targets = []experiment.Target{
		experiment.AtMost("delay of 95% of tokens at the share", "ms", maxDelayMsAtShare, share.entry.delayPercentileMs(percentile)),
		experiment.AtLeast("tokens/s at saturation over direct", "ratio", minSaturatedRateRatio, saturated.entry.tokensPerSecond()/saturated.direct.tokensPerSecond()),
	}
	return report, nil
}

func figures(share, saturated paths) []experiment.Figure {
	return []experiment.Figure{
		{Name: "share: tokens/s through the entry instance", Value: share.entry.tokensPerSecond(), Unit: "tokens/s"},
		{Name: "share: delay of 95% of tokens, direct", Value: share.direct.delayPercentileMs(percentile), Unit: "ms"},
		{Name: "share: delay of 99% of tokens", Value: share.entry.delayPercentileMs(99), Unit: "ms"},
		{Name: "share: processor time a token over direct", Value: share.entry.processorPerToken() / share.direct.processorPerToken(), Unit: "ratio"},
		{Name: "saturation: tokens/s, direct", Value: saturated.direct.tokensPerSecond(), Unit: "tokens/s"},
		{Name: "saturation: tokens/s through the entry instance", Value: saturated.entry.tokensPerSecond(), Unit: "tokens/s"},
		{Name: "saturation: processor time a token over direct", Value: saturated.entry.processorPerToken() / saturated.direct.processorPerToken(), Unit: "ratio"},
	}
}
