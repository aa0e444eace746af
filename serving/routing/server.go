package routing

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/breaker"
	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// server is what the instance knows about one backend server beside its
// declaration.
type server struct {
	address string
	tracker *load.Tracker
	breaker *breaker.Breaker
	// since is when the server was first declared, or its last new boot seen.
	since time.Duration
	// settled means that the server was there from the start and needs no
	// slow start.
	settled bool
	report  engineapi.LoadReport
	// reported means that report is set.
	reported bool
	// leaving is the mark of the membership.
	leaving  bool
	suspects int
}

// state returns the server's state for a choice.
func (s *server) state(now time.Duration, declared estate.BackendServer, options Options, instances int) snapshot.State {
	factor := 1.0
	if !s.settled {
		factor = load.SlowStart(now-s.since, options.SlowStart, options.SlowStartFloor)
	}
	state := snapshot.State{
		Requests:         s.tracker.Estimate(now, instances),
		ExpectedRequests: s.tracker.EstimateWithPeers(now, instances),
		Capacity:         factor * float64(declared.Slots),
		Draining:         s.leaving || (s.reported && s.report.Leaving),
		BreakerOpen:      !s.breaker.Allows(now),
		Suspects:         s.suspects,
	}
	if s.reported {
		state.Reported = true
		state.LoadedModel, state.LoadedVersion = s.report.Model, s.report.Version
	}
	return state
}

// reportedLoad takes a load report. A new boot starts slowly again, because
// its cache is empty.
func (s *server) reportedLoad(now, observed time.Duration, report engineapi.LoadReport) {
	if s.reported && report.BootID != s.report.BootID {
		s.since, s.settled = now, false
	}
	s.report, s.reported = report, true
	s.tracker.Reported(load.Report{
		BootID: report.BootID, Sequence: report.Sequence,
		Requests: report.Running + report.Queued, Observed: observed,
	})
}
