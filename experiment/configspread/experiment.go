// Package configspread is the experiment config-spread: the time until an
// accepted revision is in force on every instance of a full data centre, and
// the calls that it costs the platform.
package configspread

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/controlfleet"
)

// The run.
const (
	centreInstances = 185
	farInstances    = 8
	joinTime        = 90 * time.Second
	changePeriod    = 5 * time.Second
	changes         = 10
	deaths          = 5
	outage          = time.Hour
	outageInstances = 9
	settleTime      = 60 * time.Second
)

// Bounds of the design.
const (
	inForceSeconds = 3
	standingCalls  = 5
)

// Experiment measures how configuration spreads.
var Experiment = experiment.Experiment{
	Name:    "config-spread",
	Summary: "time until a revision is in force on 185 instances, and platform calls",
	Run:     run,
}

func run(_ context.Context, options experiment.Options) (experiment.Report, error) {
	size := max(4, int(math.Round(centreInstances*options.Scale)))
	report := experiment.Report{
		Experiment: "config-spread",
		Seed:       options.Seed,
		Settings: []experiment.Setting{
			{Name: "instances of the data centre", Value: fmt.Sprint(size)},
			{Name: "changes", Value: fmt.Sprint(changes)},
			{Name: "relays that die, one a change", Value: fmt.Sprint(deaths)},
		},
	}
	measured := spread(size, options.Seed)
	reads, healed := longOutage(options.Seed)
	report.Figures = []experiment.Figure{
		{Name: "in force everywhere, median change", Value: measured.median(), Unit: "s"},
		{Name: "platform calls a change and instance", Value: measured.calls, Unit: "calls"},
		{Name: "platform calls of an instance in an outage of an hour", Value: reads, Unit: "calls"},
		{Name: "in force everywhere after the outage", Value: healed, Unit: "s"},
	}
	report.Targets = []experiment.Target{
		experiment.AtMost("in force everywhere, worst change", "s", inForceSeconds, measured.worst()),
		experiment.AtMost("in force everywhere, worst change while a relay dies", "s", inForceSeconds, measured.worstDeath()),
		experiment.AtMost("standing platform calls of the data centre", "calls", standingCalls, measured.standing),
		experiment.AtMost("instances without the newest revision at the end", "instances", 0, measured.behind),
	}
	return report, nil
}

// spread changes the configuration of one large and one small data centre
// again and again; in the second half a relay dies with each change.
func spread(size int, seed uint64) result {
	fleet := controlfleet.New([]controlfleet.Centre{
		{Name: "a", Region: "north", Instances: size},
		{Name: "b", Region: "south", Instances: farInstances},
	}, seed)
	fleet.AcceptRevision()
	fleet.Run(joinTime)
	var measured result
	before := fleet.PlatformReads
	for change := range changes {
		killed := change >= changes-deaths && killRelay(fleet)
		revision, accepted := fleet.AcceptRevision(), fleet.Now()
		for range changePeriod / time.Second {
			fleet.Run(time.Second)
			measured.standing = max(measured.standing, float64(fleet.OpenWatches("a")))
		}
		measured.add(timeInForce(fleet, revision, accepted), killed)
	}
	measured.calls = float64(fleet.PlatformReads-before) / changes / float64(size+farInstances)
	fleet.Run(settleTime)
	measured.behind = float64(len(fleet.Outdated()))
	return measured
}

// killRelay ends one relay of the large data centre.
func killRelay(fleet *controlfleet.Fleet) bool {
	for _, name := range fleet.Names {
		instance := fleet.Instances[name]
		if instance.Peer.DataCentre == "a" && instance.Watching() {
			instance.Stopped = true
			return true
		}
	}
	return false
}

// timeInForce returns the seconds until the last running instance had the
// revision; an instance that lacks it counts with the whole period.
func timeInForce(fleet *controlfleet.Fleet, revision uint64, accepted time.Time) float64 {
	worst := time.Duration(0)
	for _, name := range fleet.Names {
		instance := fleet.Instances[name]
		if instance.Stopped {
			continue
		}
		at, ok := instance.InForceAt[revision]
		if !ok {
			return changePeriod.Seconds()
		}
		worst = max(worst, at.Sub(accepted))
	}
	return worst.Seconds()
}

// longOutage stops the platform for an hour and returns the calls that an
// instance made meanwhile and the seconds until everything was in force after.
func longOutage(seed uint64) (calls, healed float64) {
	fleet := controlfleet.New([]controlfleet.Centre{{Name: "a", Region: "north", Instances: outageInstances}}, seed)
	fleet.AcceptRevision()
	fleet.Run(30 * time.Second)
	fleet.PlatformUnavailable = true
	before := fleet.PlatformReads
	fleet.Run(outage)
	calls = float64(fleet.PlatformReads-before) / outageInstances
	fleet.PlatformUnavailable = false
	revision, back := fleet.AcceptRevision(), fleet.Now()
	for len(fleet.Outdated()) > 0 && fleet.Now().Sub(back) < 5*time.Minute {
		fleet.Run(100 * time.Millisecond)
	}
	return calls, timeAfter(fleet, revision, back)
}

func timeAfter(fleet *controlfleet.Fleet, revision uint64, back time.Time) float64 {
	worst := time.Duration(0)
	for _, instance := range fleet.Instances {
		worst = max(worst, instance.InForceAt[revision].Sub(back))
	}
	return worst.Seconds()
}
