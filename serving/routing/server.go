package routing

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/breaker"
	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// server is the local state of one backend server beside its declaration in
// the configuration.
type server struct {
	address string
	tracker *load.Tracker
	breaker *breaker.Breaker
	// slowStartBegin is when the server was declared or last reported a boot.
	slowStartBegin time.Duration
	// skipSlowStart is true when the server was declared in the router's first
	// configuration and reported no new boot since.
	skipSlowStart bool
	report        engineapi.LoadReport
	// hasReport is true when report is set.
	hasReport bool
	// leaving is set by Router.SetLeaving.
	leaving  bool
	suspects int
}

// state returns the server's state as input of a routing decision.
func (s *server) state(now time.Duration, declared estate.BackendServer, options Options, instances int) snapshot.State {
	factor := 1.0
	if !s.skipSlowStart {
		factor = load.SlowStart(now-s.slowStartBegin, options.SlowStart, options.SlowStartFloor)
	}
	state := snapshot.State{
		Requests:         s.tracker.Estimate(now, instances),
		ExpectedRequests: s.tracker.EstimateWithPeers(now, instances),
		Capacity:         factor * float64(declared.Slots),
		Draining:         s.leaving || (s.hasReport && s.report.Leaving),
		BreakerOpen:      !s.breaker.Allows(now),
		Suspects:         s.suspects,
	}
	if s.hasReport {
		state.Reported = true
		state.LoadedModel, state.LoadedVersion = s.report.Model, s.report.Version
	}
	return state
}

// setReport applies a load report. A new boot repeats the slow start,
// because its cache is empty.
func (s *server) setReport(now, observed time.Duration, report engineapi.LoadReport) {
	if s.hasReport && report.BootID != s.report.BootID {
		s.slowStartBegin, s.skipSlowStart = now, false
	}
	s.report, s.hasReport = report, true
	s.tracker.Reported(load.Report{
		BootID: report.BootID, Sequence: report.Sequence,
		Requests: report.Running + report.Queued, Observed: observed,
	})
}
