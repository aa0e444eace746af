// Package configspread measures the time until an accepted revision is in force on
// every instance of a full data centre, and the calls that the platform receives
// for it. It is the experiment config-spread and runs in virtual time.
package configspread

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/controlfleet"
)

// Sizes and times of the run.
const (
	centreInstances = 185
	remoteInstances = 8
	joinTime        = 90 * time.Second
	changeInterval  = 5 * time.Second
	changes         = 10
	relayFailures   = 5
	outageTime      = time.Hour
	outageInstances = 9
	completionTime  = 60 * time.Second
)

// Targets of the design.
const (
	maxInForceSeconds = 3
	maxOpenWatches    = 5
)

// Experiment measures how fast a configuration comes into force, and what it costs.
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
			{Name: "relays that die, one a change", Value: fmt.Sprint(relayFailures)},
		},
	}
	measured := measureChanges(size, options.Seed)
	calls, recovery := measureOutage(options.Seed)
	report.Figures = []experiment.Figure{
		{Name: "in force everywhere, median change", Value: measured.median(), Unit: "s"},
		{Name: "platform calls a change and instance", Value: measured.callsPerChange, Unit: "calls"},
		{Name: "platform calls of an instance in an outage of an hour", Value: calls, Unit: "calls"},
		{Name: "in force everywhere after the outage", Value: recovery, Unit: "s"},
	}
	report.Targets = []experiment.Target{
		experiment.AtMost("in force everywhere, worst change", "s", maxInForceSeconds, measured.worst()),
		experiment.AtMost("in force everywhere, worst change while a relay dies", "s", maxInForceSeconds, measured.worstWithFailure()),
		experiment.AtMost("standing platform calls of the data centre", "calls", maxOpenWatches, measured.openWatches),
		experiment.AtMost("instances without the newest revision at the end", "instances", 0, measured.outdated),
	}
	return report, nil
}

// measureChanges changes the configuration of one large and one small data centre
// repeatedly; in the second half a relay fails at each change.
func measureChanges(size int, seed uint64) result {
	fleet := controlfleet.New([]controlfleet.Centre{
		{Name: "a", Region: "north", Instances: size},
		{Name: "b", Region: "south", Instances: remoteInstances},
	}, seed)
	fleet.AcceptRevision()
	fleet.Run(joinTime)
	var measured result
	before := fleet.PlatformReads
	for change := range changes {
		relayFailed := change >= changes-relayFailures && stopRelay(fleet)
		revision, accepted := fleet.AcceptRevision(), fleet.Now()
		for range changeInterval / time.Second {
			fleet.Run(time.Second)
			measured.openWatches = max(measured.openWatches, float64(fleet.OpenWatches("a")))
		}
		measured.add(secondsUntilInForce(fleet, revision, accepted), relayFailed)
	}
	measured.callsPerChange = float64(fleet.PlatformReads-before) / changes / float64(size+remoteInstances)
	fleet.Run(completionTime)
	measured.outdated = float64(len(fleet.Outdated()))
	return measured
}

// stopRelay stops one relay of the large data centre and reports whether there was one.
func stopRelay(fleet *controlfleet.Fleet) bool {
	for _, name := range fleet.Names {
		instance := fleet.Instances[name]
		if instance.Peer.DataCentre == "a" && instance.Watching() {
			instance.Stopped = true
			return true
		}
	}
	return false
}

// secondsUntilInForce returns the seconds from acceptance until the revision was in force on
// the last running instance; an instance without it counts with changeInterval.
func secondsUntilInForce(fleet *controlfleet.Fleet, revision uint64, accepted time.Time) float64 {
	worst := time.Duration(0)
	for _, name := range fleet.Names {
		instance := fleet.Instances[name]
		if instance.Stopped {
			continue
		}
		at, ok := instance.InForceAt[revision]
		if !ok {
			return changeInterval.Seconds()
		}
		worst = max(worst, at.Sub(accepted))
	}
	return worst.Seconds()
}

// measureOutage makes the platform unavailable for an hour. It returns the calls per
// instance during the outage, and the seconds after its end until a new revision was
// in force everywhere.
func measureOutage(seed uint64) (calls, recovery float64) {
	fleet := controlfleet.New([]controlfleet.Centre{{Name: "a", Region: "north", Instances: outageInstances}}, seed)
	fleet.AcceptRevision()
	fleet.Run(30 * time.Second)
	fleet.PlatformUnavailable = true
	before := fleet.PlatformReads
	fleet.Run(outageTime)
	calls = float64(fleet.PlatformReads-before) / outageInstances
	fleet.PlatformUnavailable = false
	revision, outageEnd := fleet.AcceptRevision(), fleet.Now()
	for len(fleet.Outdated()) > 0 && fleet.Now().Sub(outageEnd) < 5*time.Minute {
		fleet.Run(100 * time.Millisecond)
	}
	return calls, secondsAfterOutage(fleet, revision, outageEnd)
}

// secondsAfterOutage returns the seconds from outageEnd until the revision was in force on
// the last instance that has it.
func secondsAfterOutage(fleet *controlfleet.Fleet, revision uint64, outageEnd time.Time) float64 {
	worst := time.Duration(0)
	for _, instance := range fleet.Instances {
		worst = max(worst, instance.InForceAt[revision].Sub(outageEnd))
	}
	return worst.Seconds()
}
