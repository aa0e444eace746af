package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/centreloss"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

const (
	// maxNeighbourChecks is the number of other servers of a service in a data centre that are checked beside one.
	maxNeighbourChecks = 8
	// neighbourDelay is how long a server may take to accept a connection, a round trip between regions and some time more,
	// before others are checked beside it.
	neighbourDelay = 45 * time.Millisecond
	// neighbourSilence is the time after the last response of a server after which it is checked beside another one.
	neighbourSilence = 60 * time.Millisecond
)

// centreMonitor keeps the signs that servers are silent, to find out whether most servers of a service in a data centre were
// lost together. It is safe for concurrent use.
type centreMonitor struct {
	f       *Forwarder
	mu      sync.Mutex
	tracker *centreloss.Tracker
	// expiredAt is when old signs were last dropped.
	expiredAt time.Time
}

// signExpiryInterval is the time between two removals of old signs.
const signExpiryInterval = time.Second

func newCentreMonitor(f *Forwarder) *centreMonitor {
	return &centreMonitor{f: f, tracker: centreloss.NewTracker(centreloss.DefaultPolicy())}
}

// with calls use with the tracker, mu held, and the time.
func (m *centreMonitor) with(use func(tracker *centreloss.Tracker, now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.expiredAt) >= signExpiryInterval {
		m.tracker.Expire(now)
		m.expiredAt = now
	}
	use(m.tracker, now)
}

// checked records how the connection attempts of a check that began at a time ended.
func (m *centreMonitor) checked(begun time.Time, server *directory.Server, finding centreloss.Finding) {
	last := m.f.selector.lastResponse(server.ID)
	m.with(func(tracker *centreloss.Tracker, now time.Time) {
		tracker.Checked(now, begun, last, server.ID, finding)
	})
}

// silent records that a running stream at a server gets no events.
func (m *centreMonitor) silent(server *directory.Server) {
	last := m.f.selector.lastResponse(server.ID)
	m.with(func(tracker *centreloss.Tracker, now time.Time) { tracker.Silent(now, last, server.ID) })
}

// failedAtPeer records that a peer found a server failed, some time ago.
func (m *centreMonitor) failedAtPeer(server string, age time.Duration) {
	last := m.f.selector.lastResponse(server)
	m.with(func(tracker *centreloss.Tracker, now time.Time) {
		tracker.FailedAtPeer(now, now.Add(-age), last, server)
	})
}

// lost reports whether a server that answers no connection attempt was lost together with most others of its service in its data centre. The
// others that fell silent with it are avoided then.
func (m *centreMonitor) lost(server *directory.Server) bool {
	last, unanswered := m.f.selector.lastResponse(server.ID), false
	m.with(func(tracker *centreloss.Tracker, now time.Time) {
		unanswered = tracker.Unanswered(now, server.ID, last)
	})
	if !unanswered {
		return false
	}
	others := neighbours(m.f.directory.Snapshot(), server)
	ids := idsOf(others)
	var verdict centreloss.Verdict
	m.with(func(tracker *centreloss.Tracker, now time.Time) {
		verdict = tracker.Lost(now, server.ID, ids, m.f.selector.lastResponse)
	})
	if !verdict.Lost {
		return false
	}
	for _, other := range others {
		if slices.Contains(verdict.Silent, other.ID) && !m.f.selector.avoided(other) {
			m.f.recordUnreachable(other, errCentreLost)
		}
	}
	return true
}

var errCentreLost = fault.New(fault.UpstreamUnreachable, "no connection attempt was answered, and most servers of the service in the data centre fell silent with it")

// neighbours returns the other servers of a server's service in its data centre.
func neighbours(snapshot *directory.Snapshot, server *directory.Server) []*directory.Server {
	var others []*directory.Server
	for _, other := range snapshot.ForService(server.Service) {
		if other.DataCentre == server.DataCentre && other.ID != server.ID && other.Address != server.Address {
			others = append(others, other)
		}
	}
	return others
}

// checkNeighbours begins to check other servers of a service in a data centre beside one that is being checked, unless so
// many of them have just sent something that the data centre can't be lost.
func (c *livenessChecker) checkNeighbours(server *directory.Server, check *livenessCheck) {
	others := neighbours(c.f.directory.Snapshot(), server)
	total := len(others) + 1
	others = slices.DeleteFunc(others, func(other *directory.Server) bool {
		return time.Since(c.f.selector.lastResponse(other.ID)) < neighbourSilence
	})
	if living := total - 1 - len(others); total-living <= 2*living {
		return
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(maxNeighbourChecks, len(others))] {
		begun := c.join(other, acceptTimeout-neighbourDelay)
		c.mu.Lock()
		check.neighbours = append(check.neighbours, begun)
		c.mu.Unlock()
	}
}

// awaitNeighbours waits for the checks of other servers that show whether an unreachable one was lost with them.
func (c *livenessChecker) awaitNeighbours(ctx context.Context, check *livenessCheck) {
	if check.finding.liveness != livenessUnreachable {
		return
	}
	c.mu.Lock()
	begun := slices.Clone(check.neighbours)
	c.mu.Unlock()
	for _, neighbour := range begun {
		select {
		case <-ctx.Done():
			return
		case <-neighbour.connected:
		}
	}
}
