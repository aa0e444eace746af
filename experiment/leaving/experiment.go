// Package leaving is the experiment leaving: the time until every instance of
// a full data centre knows that a backend server is leaving, and the new work
// that it would get after that.
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

// The run.
const (
	centreInstances = 185
	joinTime        = 90 * time.Second
	markPeriod      = 6 * time.Second
	marksOfASource  = 5
	step            = 50 * time.Millisecond
	markLifetime    = time.Hour
	// workPerSecond is what one instance sends to one server: 61,000 requests
	// a second over 2,400 instances and the servers of a data centre.
	workPerSecond = 25.0 / 770
)

// Bounds of the design.
const graceSeconds = 3

// source is who knows first that a server is leaving.
type source string

// The sources of marks.
const (
	fromOperator source = "operator"
	fromList     source = "instance list"
	fromServer   source = "server itself"
)

// Experiment measures leaving marks.
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
			{Name: "marks of each source", Value: fmt.Sprint(marksOfASource)},
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
			experiment.AtMost("last instance knows, mark from the "+string(from), "s", graceSeconds, worst))
	}
	report.Targets = append(report.Targets,
		experiment.AtMost("new work more than 3 s after the mark", "requests", 0, late))
	return report, nil
}

// mark publishes one mark and returns when each instance knew it, in seconds
// and in the order of the times.
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

// post lets the source tell the instances: an operator tells one, the list is
// seen by a reader after at most one period, and the server tells those that
// it happens to answer first.
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
		fleet.StepMembership(fleet.Instances[chosen], decision.Post{Notice: notice})
	}
}

// lateWork returns the requests sent after the grace by instances that did not
// know yet.
func lateWork(reached []float64) float64 {
	work := 0.0
	for _, seconds := range reached {
		work += max(0, seconds-graceSeconds) * workPerSecond
	}
	return work
}
