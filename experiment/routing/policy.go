package routing

import (
	"github.com/wisteriahaven/wisteriahaven/decision/routing"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/filter"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/pick"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
)

// policy is one routing pipeline under its name in the report.
type policy struct {
	name     string
	pipeline *routing.Pipeline
	// uncorrected uses load reports without correction.
	uncorrected bool
}

// The names of the compared policies.
const (
	nameRandom     = "random"
	nameTwoChoices = "two choices"
	nameDefault    = "prefix affinity"
)

func newPipeline(picker pick.Picker, scorers ...score.Scorer) *routing.Pipeline {
	return &routing.Pipeline{Filters: filter.All(), Preferences: filter.Preferences(), Scorers: scorers, Picker: picker}
}

// comparedPolicies returns the policies that the targets compare. The default is the pipeline
// that entry instances use.
func comparedPolicies() []policy {
	return []policy{
		{name: nameRandom, pipeline: newPipeline(pick.Random{})},
		{name: nameTwoChoices, pipeline: newPipeline(pick.TwoChoices{}, score.Load{})},
		{name: nameDefault, pipeline: routing.Default()},
		{name: "1 minimum feature", pipeline: newPipeline(pick.TwoChoices{}, score.Load{}, newFeatures(1))},
		{name: "2 minimum features", pipeline: newPipeline(pick.TwoChoices{}, score.Load{}, newFeatures(2))},
		{name: "4 minimum features", pipeline: newPipeline(pick.TwoChoices{}, score.Load{}, newFeatures(4))},
	}
}

// correctionVariants returns policies that show the effect of correcting load reports; none has a
// target.
func correctionVariants() []policy {
	return []policy{
		{name: "least loaded, corrected", pipeline: newPipeline(pick.Best{}, score.Load{})},
		{name: "least loaded, uncorrected", pipeline: newPipeline(pick.Best{}, score.Load{}), uncorrected: true},
		{name: "two choices, uncorrected", pipeline: newPipeline(pick.TwoChoices{}, score.Load{}), uncorrected: true},
	}
}
