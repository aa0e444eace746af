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
	centreInstances  = 185
	joinTime         = 90 * time.Second
	observationTime  = 6 * time.Second
	noticesPerSource = 5
	sampleInterval   = 50 * time.Millisecond
	noticeLifetime   = time.Hour
	// requestsPerSecond is the rate of requests from one instance to one server:
	// 61,000 requests per second, over 2,400 instances and the servers of a
	// data centre.
	requestsPerSecond = 25.0 / 770
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
			{Name: "marks of each source", Value: fmt.Sprint(noticesPerSource)},
			{Name: "datagrams lost", Value: "1%"},
		},
	}
	fleet := controlfleet.New([]controlfleet.Centre{{Name: "a", Region: "north", Instances: size}}, options.Seed)
	fleet.Run(joinTime)
	lateTotal := 0.0
	for _, from := range []source{fromOperator, fromList, fromServer} {
		worst := 0.0
		for index := range noticesPerSource {
			times := measureNotice(fleet, from, index)
			worst = max(worst, times[len(times)-1])
			lateTotal += lateRequests(times)
		}
		report.Targets = append(report.Targets,
			experiment.AtMost("last instance knows, mark from the "+string(from), "s", graceSeconds, worst))
	}
	report.Targets = append(report.Targets,
		experiment.AtMost("new work more than 3 s after the mark", "requests", 0, lateTotal))
	return report, nil
}

// measureNotice publishes one notice and returns the times until each instance had it, in
// seconds and ascending. An instance that never gets it counts with observationTime.
func measureNotice(fleet *controlfleet.Fleet, from source, index int) []float64 {
	name := fmt.Sprintf("engine-%s-%d", from, index)
	begin := fleet.Now()
	informed := make(map[string]bool)
	var times []float64
	for fleet.Now().Sub(begin) < observationTime {
		if len(informed) == 0 {
			postNotice(fleet, from, name, begin)
		}
		fleet.Run(sampleInterval)
		for _, instance := range fleet.Names {
			view := fleet.Instances[instance].View()
			if !informed[instance] && view.HasNotice(decision.NoticeBackendServer, name, fleet.Now()) {
				informed[instance] = true
				times = append(times, fleet.Now().Sub(begin).Seconds())
			}
		}
	}
	for range len(fleet.Names) - len(informed) {
		times = append(times, observationTime.Seconds())
	}
	return times
}

// postNotice gives the notice to the first instances: an operator's command goes to one,
// the instance list is read by one after at most one membership.ListPeriod, and the server
// informs the three that it happens to answer first.
func postNotice(fleet *controlfleet.Fleet, from source, name string, begin time.Time) {
	notice := decision.Notice{
		NoticeKey: decision.NoticeKey{Kind: decision.NoticeBackendServer, Name: name},
		Expires:   begin.Add(noticeLifetime),
		Reason:    string(from),
	}
	receivers := 1
	switch from {
	case fromList:
		fleet.Run(membership.ListPeriod)
	case fromServer:
		receivers = 3
	case fromOperator:
	}
	for range receivers {
		chosen := fleet.Names[fleet.Random().IntN(len(fleet.Names))]
		fleet.StepMembership(fleet.Instances[chosen], decision.Post{Notice: notice})
	}
}

// lateRequests returns the number of requests that instances without the notice send to
// the server after the grace period.
func lateRequests(times []float64) float64 {
	requests := 0.0
	for _, seconds := range times {
		requests += max(0, seconds-graceSeconds) * requestsPerSecond
	}
	return requests
}
