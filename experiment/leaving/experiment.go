// Package leaving measures the time until every instance of a full data centre has
// received the notice that a backend server is leaving, and the new requests that
// the server would get after the grace period. It is the experiment leaving and runs
// in virtual time.
package leaving

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/wisteriahaven/wisteriahaven/control/membership"
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/controlfleet"
)

// Sizes and times of the run.
const (
	centreInstances = 185
	joinTime        = 90 * time.Second
	markPeriod      = 6 * time.Second
	marksOfASource  = 5
	step            = 50 * time.Millisecond
	markLifetime    = time.Hour
	// workPerSecond is the rate of requests from one instance to one server:
	// 61,000 requests per second, over 2,400 instances and the servers of a
	// data centre.
	workPerSecond = 25.0 / 770
)

// graceSeconds is the target of the design for the time until every instance has
// received a notice.
const graceSeconds = 3

// source is the origin of a notice that a server is leaving.
type source string

// The sources of notices.
const (
	fromOperator source = "operator"
	fromList     source = "instance list"
	fromServer   source = "server itself"
)

// Experiment measures how fast leaving notices reach all instances.
var Experiment = experiment.Experiment{
	Name:    "leaving",
	Summary: "time until no instance sends new work to a leaving backend server",
	Run:     run,
}

func run(_ context.Context, options experiment.Options) (experiment.Report, error) {
	size := max(4, int(math.Round(centreInstances*options.Scale)))
	report := experiment.Report{
		Experiment: "leaving",
		Seed:       options.Seed,
		Settings: []experiment.Setting{
			{Name: "instances of the data centre", Value: fmt.Sprint(size)},
			{Name: "notices from each source", Value: fmt.Sprint(marksOfASource)},
			{Name: "datagrams lost", Value: "1%"},
		},
	}
	fleet := controlfleet.New([]controlfleet.Centre{{Name: "a", Region: "north", Instances: size}}, options.Seed)
	fleet.Run(joinTime)
	late := 0.0
	for _, from := range []source{fromOperator, fromList, fromServer} {
		worst := 0.0
		for index := range marksOfASource {
			reached := mark(fleet, from, index)
			worst = max(worst, reached[len(reached)-1])
			late += lateWork(reached)
		}
		report.Targets = append(report.Targets,
			experiment.AtMost("last instance has the notice from the "+string(from), "s", graceSeconds, worst))
	}
	report.Targets = append(report.Targets,
		experiment.AtMost("new requests more than 3 s after the notice", "requests", 0, late))
	return report, nil
}

// mark publishes one notice and returns the times until each instance had it, in
// seconds and ascending. An instance that never gets it counts with markPeriod.
func mark(fleet *controlfleet.Fleet, from source, index int) []float64 {
	name := fmt.Sprintf("engine-%s-%d", from, index)
	begin := fleet.Now()
	known := make(map[string]bool)
	var reached []float64
	for fleet.Now().Sub(begin) < markPeriod {
		if len(known) == 0 {
			post(fleet, from, name, begin)
		}
		fleet.Run(step)
		for _, instance := range fleet.Names {
			view := fleet.Instances[instance].View()
			if !known[instance] && view.HasNotice(decision.NoticeBackendServer, name, fleet.Now()) {
				known[instance] = true
				reached = append(reached, fleet.Now().Sub(begin).Seconds())
			}
		}
	}
	for range len(fleet.Names) - len(known) {
		reached = append(reached, markPeriod.Seconds())
	}
	return reached
}

// post gives the notice to the first instances: an operator's command goes to one,
// the instance list is read by one after at most one list period, and the server
// informs the three that it happens to answer first.
func post(fleet *controlfleet.Fleet, from source, name string, begin time.Time) {
	notice := decision.Notice{
		NoticeKey: decision.NoticeKey{Kind: decision.NoticeBackendServer, Name: name},
		Expires:   begin.Add(markLifetime),
		Reason:    string(from),
	}
	tellers := 1
	switch from {
	case fromList:
		fleet.Run(membership.ListPeriod)
	case fromServer:
		tellers = 3
	case fromOperator:
	}
	for range tellers {
		chosen := fleet.Names[fleet.Random().IntN(len(fleet.Names))]
		fleet.Tell(fleet.Instances[chosen], decision.Post{Notice: notice})
	}
}

// lateWork returns the number of requests that instances without the notice send to
// the server after the grace period.
func lateWork(reached []float64) float64 {
	work := 0.0
	for _, seconds := range reached {
		work += max(0, seconds-graceSeconds) * workPerSecond
	}
	return work
}
