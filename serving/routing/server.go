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
	// since is when the server was first declared or last reported a new boot.
	since time.Duration
	// settled means that the server was declared in the router's first
	// configuration and reported no new boot since: it needs no slow start.
	settled bool
	report  engineapi.LoadReport
	// reported is true when report is set.
	reported bool
	// leaving is set by Router.SetLeaving.
	leaving  bool
	suspects int
}

// state returns the server's state as input of a routing decision.
func (s *server) state(now time.Duration, declared estate.BackendServer, options Options, instances int) snapshot.State {
	factor := 1.0
	if !s.settled {
		factor = load.SlowStart(now-s.since, options.SlowStart, options.SlowStartFloor)
	}
	state := snapshot.State{
		Held:        s.tracker.Estimate(now, instances),
		Expected:    s.tracker.Expected(now, instances),
		Capacity:    factor * float64(declared.Slots),
		Leaving:     s.leaving || (s.reported && s.report.Leaving),
		BreakerOpen: !s.breaker.Allows(now),
		Suspects:    s.suspects,
	}
	if s.reported {
		state.Reported = true
		state.LoadedModel, state.LoadedVersion = s.report.Model, s.report.Version
	}
	return state
}

// reportedLoad applies a load report. A new boot repeats the slow start,
// because its cache is empty.
func (s *server) reportedLoad(now, observed time.Duration, report engineapi.LoadReport) {
	if s.reported && report.BootID != s.report.BootID {
		s.since, s.settled = now, false
	}
	s.report, s.reported = report, true
	s.tracker.Reported(load.Report{
		BootID: report.BootID, Sequence: report.Sequence,
		Held: report.Running + report.Queued, Observed: observed,
	})
}
