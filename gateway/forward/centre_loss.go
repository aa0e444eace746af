package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

const (
	// neighbourDelay is how long a server may take to accept a connection before others of its data
	// centre are checked as well; neighbourChecks is the number of these.
	neighbourDelay  = 70 * time.Millisecond
	neighbourChecks = 4
	// minUnreachableNeighbours is the number of other unreachable servers that show, where there are so
	// many, that a data centre is lost.
	minUnreachableNeighbours = 3
	// reachWindow is how long it counts that a server was found reachable or not.
	reachWindow = time.Second
)

// centreReach holds which servers were found unreachable lately. A machine that is suspended for a moment answers no
// connection attempt and then goes on; when most of a data centre don't, it or the path to it is lost. It is safe for
// concurrent use.
type centreReach struct {
	mu    sync.Mutex
	found map[string]reachFinding
}

// reachFinding is what the last check of a server has found.
type reachFinding struct {
	at          time.Time
	unreachable bool
}

func newCentreReach() *centreReach { return &centreReach{found: make(map[string]reachFinding)} }

// record records what a check has found, and drops what is too old.
func (r *centreReach) record(now time.Time, id string, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, finding := range r.found {
		if now.Sub(finding.at) > reachWindow {
			delete(r.found, other)
		}
	}
	r.found[id] = reachFinding{at: now, unreachable: unreachable}
}

// lost reports whether a data centre with an unreachable server is lost, given the others that are listed there: most of
// those that were checked lately are unreachable too, which are returned.
func (r *centreReach) lost(now time.Time, others []*directory.Server) (unreachable []*directory.Server, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := 0
	for _, server := range others {
		finding, found := r.found[server.ID]
		switch {
		case !found || now.Sub(finding.at) > reachWindow:
		case finding.unreachable:
			unreachable = append(unreachable, server)
		default:
			reached++
		}
	}
	count := len(unreachable)
	return unreachable, count > 0 && count >= min(minUnreachableNeighbours, len(others)) && count > 2*reached
}

// neighbours returns the other servers of a server's data centre.
func neighbours(snapshot *directory.Snapshot, server *directory.Server) []*directory.Server {
	var others []*directory.Server
	for _, other := range snapshot.All {
		if other.DataCentre == server.DataCentre && other.ID != server.ID && other.Address != server.Address {
			others = append(others, other)
		}
	}
	return others
}

// centreLost reports whether the data centre of an unreachable server is lost. The others that were found unreachable
// are avoided then.
func (c *livenessChecker) centreLost(server *directory.Server) bool {
	unreachable, lost := c.reach.lost(time.Now(), neighbours(c.f.directory.Snapshot(), server))
	if !lost {
		return false
	}
	for _, other := range unreachable {
		if !c.f.selector.avoided(other) {
			c.f.recordUnreachable(other, errCentreLost)
		}
	}
	return true
}

var errCentreLost = fault.New(fault.UpstreamUnreachable, "no connection attempt was answered, nor were those to other servers of the data centre")

// checkNeighbours begins to check some other servers of the data centre of a server that is being checked.
func (c *livenessChecker) checkNeighbours(server *directory.Server, check *livenessCheck) {
	others := neighbours(c.f.directory.Snapshot(), server)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(neighbourChecks, len(others))] {
		begun := c.join(other, true)
		c.mu.Lock()
		check.neighbours = append(check.neighbours, begun)
		c.mu.Unlock()
	}
}

// awaitNeighbours waits for the checks of other servers that show whether the data centre of an unreachable one is lost.
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
		case <-neighbour.done:
		}
	}
}
