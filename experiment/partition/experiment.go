// Package partition is the experiment partition: what the instances of a data
// centre that is cut off for an hour, and the others, still hold and believe,
// and how long both take to agree again.
package partition

import (
	"context"
	"fmt"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/controlfleet"
)

// The run.
const (
	joinTime     = 60 * time.Second
	cutTime      = time.Hour
	changePeriod = 14 * time.Second
	sample       = time.Second
	healLimit    = 5 * time.Minute
	healStep     = 100 * time.Millisecond
	instances    = 9
)

// Bounds of the design.
const healSeconds = 30

// cutCentre is the data centre that is cut off.
const cutCentre = "a"

// Experiment measures a partition.
var Experiment = experiment.Experiment{
	Name:    "partition",
	Summary: "a data centre cut off for an hour: what each part can serve, and the time to heal",
	Run:     run,
}

func run(_ context.Context, options experiment.Options) (experiment.Report, error) {
	fleet := controlfleet.New([]controlfleet.Centre{
		{Name: cutCentre, Region: "north", Instances: instances},
		{Name: "b", Region: "north", Instances: instances},
		{Name: "c", Region: "south", Instances: instances},
	}, options.Seed)
	fleet.AcceptRevision()
	fleet.Run(joinTime)
	span := max(time.Minute, time.Duration(float64(cutTime)*options.Scale))
	parts := cutOff(fleet, span)
	fleet.CutOff[cutCentre] = false
	healed := heal(fleet)
	return experiment.Report{
		Experiment: "partition",
		Seed:       options.Seed,
		Settings: []experiment.Setting{
			{Name: "data centres", Value: "3"},
			{Name: "instances of each", Value: fmt.Sprint(instances)},
			{Name: "cut off for", Value: fmt.Sprint(span)},
			{Name: "configuration changes every", Value: fmt.Sprint(changePeriod)},
		},
		Figures: []experiment.Figure{
			{Name: "cut-off part: instance seconds with a configuration and its whole data centre live", Value: 100 * parts.cut.share(), Unit: "%"},
			{Name: "other part: instance seconds with a configuration and its whole data centre live", Value: 100 * parts.rest.share(), Unit: "%"},
			{Name: "other part: instances without the newest revision, worst", Value: parts.behind, Unit: "instances"},
		},
		Targets: []experiment.Target{
			experiment.AtMost("instances falsely held for gone inside their part", "instance seconds", 0, parts.cut.falselyGone+parts.rest.falselyGone),
			experiment.AtMost("instances without a configuration", "instance seconds", 0, parts.cut.bare+parts.rest.bare),
			experiment.AtMost("time until all agree again", "s", healSeconds, healed),
		},
	}, nil
}

// cutOff cuts the data centre off, goes on changing the configuration, and
// samples both parts.
func cutOff(fleet *controlfleet.Fleet, span time.Duration) parts {
	var seen parts
	fleet.CutOff[cutCentre] = true
	begin, changed := fleet.Now(), fleet.Now()
	for fleet.Now().Sub(begin) < span {
		if fleet.Now().Sub(changed) >= changePeriod {
			seen.behind = max(seen.behind, float64(len(fleet.Outdated())))
			fleet.AcceptRevision()
			changed = fleet.Now()
		}
		fleet.Run(sample)
		for _, name := range fleet.Names {
			seen.add(fleet.Instances[name])
		}
	}
	return seen
}

// heal returns the seconds until every instance has the newest revision and
// the bridges know the other data centres again.
func heal(fleet *controlfleet.Fleet) float64 {
	begin := fleet.Now()
	for fleet.Now().Sub(begin) < healLimit && !agreed(fleet) {
		fleet.Run(healStep)
	}
	return fleet.Now().Sub(begin).Seconds()
}

func agreed(fleet *controlfleet.Fleet) bool {
	if len(fleet.Outdated()) > 0 {
		return false
	}
	for _, name := range fleet.Names {
		view := fleet.Instances[name].View()
		for _, centre := range []string{"a", "b", "c"} {
			if len(view.Live(centre)) == 0 {
				return false
			}
		}
	}
	return true
}
