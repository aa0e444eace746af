package rollouts

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// paceEvents is the number of events over which the pace of a stream is measured.
const paceEvents = 20

// What is measured of a request; the name of the route precedes it in the hash of a cell.
const (
	aspectAnswer = ""
	aspectFirst  = "\x00first"
	aspectPace   = "\x00pace"
	aspectEnd    = "\x00end"
)

// Attempt measures one attempt of a request at a server. A nil Attempt measures nothing.
type Attempt struct {
	manager *Manager
	service string
	version string
	route   string
	stream  bool
	// move is nil when no order ran as the attempt began.
	move *move
	// cell and since are what is measured now; counted is set when it was counted as slow already.
	cell    rollout.Cell
	since   time.Time
	counted bool
	events  int
}

// Begin begins the measurement of an attempt; first is set for the first one of a request.
func (m *Manager) Begin(server *directory.Server, route string, stream, first bool) *Attempt {
	if m == nil || !m.options.Limits.Enabled() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &Attempt{manager: m, service: server.Service, version: server.SoftwareVersion, route: route, stream: stream, since: m.now()}
	if stream {
		m.streams[streamKey{a.service, a.version}]++
	}
	aspect := aspectAnswer
	if stream {
		aspect = aspectFirst
	}
	found := m.moves[server.Service]
	if found == nil || !found.running() {
		m.attempts[a] = true
		return a
	}
	a.move = found
	a.cell = rollout.Cell{Route: hash32(route + aspect), DataCentre: hash32(server.DataCentre), New: server.SoftwareVersion == found.order.To}
	if first {
		found.own.Requests++
		found.requests[hash32(route)]++
	}
	if a.cell.New {
		found.own.Exposed++
	}
	m.attempts[a] = true
	return a
}

// Events records events of the stream.
func (a *Attempt) Events(count int) {
	if a == nil || a.move == nil {
		return
	}
	a.manager.mu.Lock()
	defer a.manager.mu.Unlock()
	now := a.manager.now()
	switch {
	case a.events == 0:
		a.count(now.Sub(a.since), false)
		a.measure(now, aspectPace)
	case a.events < paceEvents && a.events+count >= paceEvents:
		a.count(now.Sub(a.since)*paceEvents/time.Duration(max(1, a.events+count-1)), false)
		a.measure(now, aspectEnd)
	}
	a.events += count
}

// End ends the attempt. Answered is set when it ended well or, with failed, with what shows a fault of the server;
// otherwise it is no evidence.
func (a *Attempt) End(answered, failed bool) {
	if a == nil {
		return
	}
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.attempts, a)
	if a.stream {
		key := streamKey{a.service, a.version}
		if m.streams[key]--; m.streams[key] <= 0 {
			delete(m.streams, key)
		}
	}
	if a.move == nil || !answered {
		return
	}
	m.countAnswer(a, failed)
	if a.stream && a.events > 0 {
		a.measure(m.now(), aspectEnd)
		a.count(0, failed)
		return
	}
	a.count(m.now().Sub(a.since), failed)
}

// measure begins to measure another aspect; the manager's mutex is held.
func (a *Attempt) measure(now time.Time, aspect string) {
	a.cell.Route, a.since, a.counted = hash32(a.route+aspect), now, false
}

// count counts the aspect that is measured, once; the manager's mutex is held.
func (a *Attempt) count(latency time.Duration, failed bool) {
	if a.counted {
		return
	}
	a.counted = true
	counts := a.move.own.Cells[a.cell]
	if failed {
		counts.Failures++
	} else {
		counts.Latencies[rollout.BucketOf(latency)]++
	}
	a.move.own.Cells[a.cell] = counts
}

// countSlow counts an attempt that is silent for several times the usual time; the manager's mutex is held.
func (a *Attempt) countSlow(now time.Time, slowAfter func(route uint32) time.Duration) {
	if a.move == nil || a.counted || (a.stream && a.events >= paceEvents) {
		return
	}
	if limit := slowAfter(a.cell.Route); limit > 0 && now.Sub(a.since) > limit {
		a.count(now.Sub(a.since), false)
	}
}
