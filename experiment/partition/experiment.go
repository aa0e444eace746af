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
	joinTime        = 60 * time.Second
	cutTime         = time.Hour
	changeInterval  = 14 * time.Second
	sampleInterval  = time.Second
	recoveryTimeout = 5 * time.Minute
	recoveryStep    = 100 * time.Millisecond
	instances       = 9
)

// maxRecoverySeconds is the target of the design for the time until all agree again.
const maxRecoverySeconds = 30

// cutCentre is the data centre that is cut off.
const cutCentre = "a"

// Experiment measures both parts during a partition and the time to recover.
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
	fleet.AcceptRevision()
	fleet.Run(joinTime)
	span := max(time.Minute, time.Duration(float64(cutTime)*options.Scale))
	measured := measurePartition(fleet, span)
	fleet.CutOff[cutCentre] = false
	recovery := secondsUntilAgreed(fleet)
	return experiment.Report{
		Experiment: "partition",
		Seed:       options.Seed,
		Settings: []experiment.Setting{
			{Name: "data centres", Value: "3"},
			{Name: "instances of each", Value: fmt.Sprint(instances)},
			{Name: "cut off for", Value: fmt.Sprint(span)},
			{Name: "configuration changes every", Value: fmt.Sprint(changeInterval)},
		},
		Figures: []experiment.Figure{
			{Name: "cut-off part: instance seconds with a configuration and its whole data centre live", Value: 100 * measured.cutOff.completeFraction(), Unit: "%"},
			{Name: "other part: instance seconds with a configuration and its whole data centre live", Value: 100 * measured.rest.completeFraction(), Unit: "%"},
			{Name: "other part: instances without the newest revision, worst", Value: measured.outdated, Unit: "instances"},
		},
		Targets: []experiment.Target{
			experiment.AtMost("instances falsely held for gone inside their part", "instance seconds", 0, measured.cutOff.notLive+measured.rest.notLive),
			experiment.AtMost("instances without a configuration", "instance seconds", 0, measured.cutOff.unconfigured+measured.rest.unconfigured),
			experiment.AtMost("time until all agree again", "s", maxRecoverySeconds, recovery),
		},
	}, nil
}

// measurePartition cuts the data centre off for the span. Meanwhile it keeps changing the
// configuration and samples both parts.
func measurePartition(fleet *controlfleet.Fleet, span time.Duration) parts {
	var measured parts
	fleet.CutOff[cutCentre] = true
	begin, changed := fleet.Now(), fleet.Now()
	for fleet.Now().Sub(begin) < span {
		if fleet.Now().Sub(changed) >= changeInterval {
			measured.outdated = max(measured.outdated, float64(len(fleet.Outdated())))
			fleet.AcceptRevision()
			changed = fleet.Now()
		}
		fleet.Run(sampleInterval)
		for _, name := range fleet.Names {
			measured.add(fleet.Instances[name])
		}
	}
	return measured
}

// secondsUntilAgreed runs the fleet until every instance has the newest revision and sees live
// instances of every data centre, and returns the seconds that this took. After
// recoveryTimeout it stops.
func secondsUntilAgreed(fleet *controlfleet.Fleet) float64 {
	begin := fleet.Now()
	for fleet.Now().Sub(begin) < recoveryTimeout && !agreed(fleet) {
		fleet.Run(recoveryStep)
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
