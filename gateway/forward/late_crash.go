package forward

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

const (
	// simultaneousTime is the time before and after the crash of a server in which the failures of others show that it has
	// another cause than a request.
	simultaneousTime = 300 * time.Millisecond
	// simultaneousFailures is the number of such failures. A request may come twice at the same time.
	simultaneousFailures = 2
	// failureLifetime is the time without another sign after which the failure of a server is over.
	failureLifetime = 3 * time.Second
)

// serverFailure holds the times of the first and the last sign that a server has failed.
type serverFailure struct{ first, last time.Time }

// recordFailure records a sign, at a time, that a server has failed, as this instance or a peer has found.
func (d *crashDetector) recordFailure(server string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, failure := range d.failures {
		if at.Sub(failure.last) > failureLifetime {
			delete(d.failures, id)
		}
	}
	failure, known := d.failures[server]
	if !known || at.Before(failure.first) {
		failure.first = at
	}
	if at.After(failure.last) {
		failure.last = at
	}
	d.failures[server] = failure
}

// recordLate records the crash of a server late in the answers of streams that ran there. It waits until peers have told of
// the failures of other servers: where several fail at the same time, no request is the cause. Of the streams, those against which
// most such crashes count are suspects.
func (d *crashDetector) recordLate(server *directory.Server, broken []brokenRun) {
	time.Sleep(simultaneousTime)
	if d.failedBeside(server.ID, broken[0].at) >= simultaneousFailures {
		return
	}
	runs := make([]poison.Run, 0, len(broken))
	for _, run := range broken {
		runs = append(runs, run.keys)
	}
	suspects := d.f.poison.suspects(runs)
	for _, run := range broken {
		suspected := slices.ContainsFunc(suspects, func(suspect poison.Run) bool { return suspect.Request == run.keys.Request })
		if suspected {
			d.f.poison.recordCrash(run, server)
		}
	}
}

// failedBeside returns the number of other servers that failed at about the same time as one.
func (d *crashDetector) failedBeside(server string, at time.Time) (count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, failure := range d.failures {
		if id != server && failure.first.Sub(at).Abs() <= simultaneousTime {
			count++
		}
	}
	return count
}
