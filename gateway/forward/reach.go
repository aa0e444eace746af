package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// reachProbeTimeout bounds the opening of a connection that shows whether a server is reached.
	reachProbeTimeout = 250 * time.Millisecond
	// suspectedProbeInterval is the time between two probes until it is known whether the instance is cut
	// off, cutOffProbeInterval while it is. Long cuts are probed every longCutProbeInterval.
	suspectedProbeInterval = 50 * time.Millisecond
	cutOffProbeInterval    = 250 * time.Millisecond
	longCutProbeInterval   = time.Second
	// longCutProbes is the number of failed probes in a row after which a cut is long.
	longCutProbes = 60
	// minFailedWait is how long a connection attempt that a request's deadline ended must have lasted to
	// raise a suspicion.
	minFailedWait = 100 * time.Millisecond
)

// cutOff reports whether this instance reaches no server of a service now: new connections to them fail.
func (s *selector) cutOff(service string) bool { return s.reach.includes(service) }

// open returns a connection to a server, as Pool.Open does, and records whether a new one could be opened.
func (f *Forwarder) open(ctx context.Context, server *directory.Server, timeout time.Duration, reuse bool) (*upstream.Conn, error) {
	started := time.Now()
	conn, err := f.pool.Open(ctx, server.ID, server.Address, timeout, reuse)
	switch {
	case err == nil:
		if !conn.Reused {
			f.selector.reach.opened(server)
		}
	case ctx.Err() == nil && !errors.Is(err, upstream.ErrNoTime):
		f.selector.reach.failed(server, upstream.IsTimeout(err))
	case time.Since(started) >= minFailedWait:
		f.selector.reach.suspect(server)
	}
	return conn, err
}

// RunReach finds out of which services this instance reaches no server, and probes them until the context
// ends. The first new connection ends the state of a service.
func (f *Forwarder) RunReach(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.selector.reach.wake:
			f.probeUntilReached(ctx)
		}
	}
}

// probeUntilReached probes servers, one at a time, until those of all services are reached.
func (f *Forwarder) probeUntilReached(ctx context.Context) {
	failedProbes := 0
	for f.updateReach() {
		server, suspected := f.selector.reach.nextProbe()
		if server != nil && f.probeReach(ctx, server) && !suspected {
			failedProbes = 0
			continue // The other services may be reached again, too.
		}
		interval := suspectedProbeInterval
		if !suspected {
			failedProbes++
			interval = cutOffProbeInterval
			if failedProbes > longCutProbes {
				interval = longCutProbeInterval
			}
		}
		if !pause.For(ctx, interval/2+rand.N(interval)) {
			return
		}
	}
}

// probeReach reports whether a server accepts a new connection.
func (f *Forwarder) probeReach(ctx context.Context, server *directory.Server) bool {
	f.meters.count("probes")
	conn, err := f.open(ctx, server, reachProbeTimeout, false)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// updateReach updates of which services this instance reaches no server, tells peers and the log when that has
// changed, and reports whether any server has to be probed.
func (f *Forwarder) updateReach() (probe bool) {
	before, after, probe := f.selector.reach.update(time.Now(), f.selector.lastResponse)
	if before.Equal(after) {
		return probe
	}
	if f.selector.reinstate(before, after) {
		event.Log(f.logger, event.ServersReached).Strs("services", before.Services).Bool("all", before.All).Send()
	}
	if len(after.Services) > 0 {
		event.Log(f.logger, event.ServersCutOff).Strs("services", after.Services).Bool("all", after.All).Send()
	}
	f.meters.set("services.cut_off", int64(len(after.Services)))
	f.onCutOff(after)
	return probe
}

// lastResponse returns when a server last sent something; zero when it never did.
func (s *selector) lastResponse(server string) (at time.Time) {
	s.withLedger(func(ledger *placement.Ledger, _ time.Time) { at = ledger.LastReceived(server) })
	return at
}

// lastRan returns the latest time at which a server certainly ran; zero when none is known.
func (s *selector) lastRan(server string) (at time.Time) {
	s.withLedger(func(ledger *placement.Ledger, _ time.Time) { at = ledger.LastRan(server) })
	return at
}

// recordRun records that a server ran at a time.
func (s *selector) recordRun(server string, at time.Time) {
	s.withLedger(func(ledger *placement.Ledger, _ time.Time) { ledger.Ran(at, server) })
}

// reinstate ends the avoidance of the servers of services that are reached again, and reports whether there are any.
func (s *selector) reinstate(before, after peers.CutOff) (reached bool) {
	servers := s.directory.Snapshot().All
	s.withLedger(func(ledger *placement.Ledger, _ time.Time) {
		for _, server := range servers {
			if before.Includes(server.Service) && !after.Includes(server.Service) {
				ledger.Reinstate(server.ID, server.DataCentre)
				reached = true
			}
		}
	})
	return reached
}
