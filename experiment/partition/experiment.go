// Package partition measures which configuration and membership the instances of a
// data centre that is cut off for an hour, and those of the others, still have, and
// how long both take to agree again. It is the experiment partition and runs in
// virtual time.
package partition

import (
	"context"
	"fmt"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/controlfleet"
)

// Sizes and times of the run.
const (
	joinTime     = 60 * time.Second
	cutTime      = time.Hour
	changePeriod = 14 * time.Second
	sample       = time.Second
	healLimit    = 5 * time.Minute
	healStep     = 100 * time.Millisecond
	instances    = 9
)

// healSeconds is the target of the design for the time until all agree again.
const healSeconds = 30

// cutCentre is the data centre that is cut off.
const cutCentre = "a"

// Experiment measures the state of both parts during a partition and the time to
// recover from it.
var Experiment = experiment.Experiment{
	Name:    "partition",
	Summary: "a data centre cut off for an hour: what each part can serve, and the time to recover",
	Run:     run,
}

func run(_ context.Context, options experiment.Options) (experiment.Report, error) {
	fleet := controlfleet.New([]controlfleet.Centre{
		{Name: cutCentre, Region: "north", Instances: instances},
		{Name: "b", Region: "north", Instances: instances},
		{Name: "c", Region: "south", Instances: instances},
	}, options.Seed)
	fleet.Accept()
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
			{Name: "instances of each data centre", Value: fmt.Sprint(instances)},
			{Name: "cut off for", Value: fmt.Sprint(span)},
			{Name: "configuration changes every", Value: fmt.Sprint(changePeriod)},
		},
		Figures: []experiment.Figure{
			{Name: "cut-off part: instance seconds with a configuration and the whole own data centre live", Value: 100 * parts.cut.share(), Unit: "%"},
			{Name: "other part: instance seconds with a configuration and the whole own data centre live", Value: 100 * parts.rest.share(), Unit: "%"},
			{Name: "other part: instances without the newest revision, maximum", Value: parts.behind, Unit: "instances"},
		},
		Targets: []experiment.Target{
			experiment.AtMost("running instances not seen as live inside their data centre", "instance seconds", 0, parts.cut.falselyGone+parts.rest.falselyGone),
			experiment.AtMost("instances without a configuration", "instance seconds", 0, parts.cut.bare+parts.rest.bare),
			experiment.AtMost("time until all agree again", "s", healSeconds, healed),
		},
	}, nil
}

// cutOff cuts the data centre off for the span. Meanwhile it keeps changing the
// configuration and samples both parts.
func cutOff(fleet *controlfleet.Fleet, span time.Duration) parts {
	var seen parts
	fleet.CutOff[cutCentre] = true
	begin, changed := fleet.Now(), fleet.Now()
	for fleet.Now().Sub(begin) < span {
		if fleet.Now().Sub(changed) >= changePeriod {
			seen.behind = max(seen.behind, float64(len(fleet.Behind())))
			fleet.Accept()
			changed = fleet.Now()
		}
		fleet.Run(sample)
		for _, name := range fleet.Names {
			seen.add(fleet.Instances[name])
		}
	}
	return seen
}

// heal runs the fleet until every instance has the newest revision and sees live
// instances of every data centre, and returns the seconds that this took. After
// healLimit it stops.
func heal(fleet *controlfleet.Fleet) float64 {
	begin := fleet.Now()
	for fleet.Now().Sub(begin) < healLimit && !agreed(fleet) {
		fleet.Run(healStep)
	}
	return fleet.Now().Sub(begin).Seconds()
}

func agreed(fleet *controlfleet.Fleet) bool {
	if len(fleet.Behind()) > 0 {
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
