package entry

import (
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/serving/guard"
)

// Dump returns the state of the instance with its newest decisions.
func (e *Entry) Dump(decisions int) dump.Instance {
	state := dump.Instance{
		Instance:    e.settings.Instance,
		DataCentre:  e.settings.DataCentre,
		Region:      e.settings.Region,
		Time:        time.Now(),
		Started:     e.started,
		Ready:       e.Ready(),
		Drained:     e.drained(),
		Stopping:    e.stopping.Load(),
		InFlight:    e.callers.InFlight(),
		Duties:      append(e.duties.Status(), e.serve.Status()...),
		Servers:     e.dumpServers(),
		Generations: e.tracker.Generations(),
		Calls:       e.tracker.Calls(),
		Leases:      e.dumpLeases(),
		LocalDrains: e.marks.All(),
		Quarantines: e.dumpQuarantines(),
		Counters:    dump.Counters(e.metrics),
		Decisions:   e.recorder.Recent(decisions),
		Sections: []dump.Section{
			dump.NewSection("orders", e.orders.Status()),
			dump.NewSection("retained generations", e.generator.Status()),
			dump.NewSection("queues", e.admitter.Services()),
			dump.NewSection("routing", e.router.Status()),
			dump.NewSection("cross_region_bytes", e.router.Traffic().CrossRegionBytes()),
		},
	}
	e.dumpControl(&state)
	if current := e.follower.Current(); current != nil {
		state.Revision = current.Revision
	}
	if state.Stopping {
		state.WaitingFor = waitingFor(state)
	}
	return state
}

// dumpServers returns the backend servers as routing sees them.
func (e *Entry) dumpServers() []dump.BackendServer {
	status := e.router.Status()
	servers := make([]dump.BackendServer, len(status))
	for i, server := range status {
		servers[i] = dump.BackendServer{
			Name:     server.Name,
			State:    dump.ServerUp,
			InFlight: server.InFlight,
			Reported: server.Held,
			Breaker:  server.Breaker,
		}
		if server.Leaving || server.Drained {
			servers[i].State = dump.ServerLeaving
		}
	}
	return servers
}

// dumpLeases returns the leases that the instance holds.
func (e *Entry) dumpLeases() []dump.Lease {
	status := e.orders.Status()
	if !status.Holder {
		return nil
	}
	return []dump.Lease{{Name: "orders", Holder: e.settings.Instance, FencingToken: status.Fencing}}
}

// dumpQuarantines returns the quarantines in force.
func (e *Entry) dumpQuarantines() []dump.Quarantine {
	var inForce []dump.Quarantine
	for _, quarantine := range e.guard.Quarantines() {
		if quarantine.Released {
			continue
		}
		inForce = append(inForce, dump.Quarantine{
			Fingerprint:   guard.FormatFingerprint(quarantine.Fingerprint),
			FailedServers: len(quarantine.Servers),
			Reason:        "ended " + strings.Join(quarantine.Servers, ", "),
		})
	}
	return inForce
}

// waitingFor lists the requests that a planned stop waits for.
func waitingFor(state dump.Instance) []string {
	var ids []string
	for _, generation := range state.Generations {
		ids = append(ids, generation.RequestID)
	}
	for _, call := range state.Calls {
		ids = append(ids, call.RequestID)
	}
	return ids
}

// About returns the state of the instance with its kept decisions about a
// subject or a backend server.
func (e *Entry) DumpAbout(name string) dump.Instance {
	state := e.Dump(0)
	state.Decisions = e.recorder.About(name)
	return state
}
