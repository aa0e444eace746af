package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// adoptProbeInterval is the time between two probes of an unreachable
	// server's address. The first is sent firstAdoptProbeDelay after data of the server
	// was last received: restarts take about a second.
	adoptProbeInterval   = 180 * time.Millisecond
	firstAdoptProbeDelay = time.Second
	// adoptMargin is how long before the address may be reassigned to another
	// service answers are no longer accepted.
	adoptMargin = 100 * time.Millisecond
	// adoptProbeTimeout bounds one probe.
	adoptProbeTimeout = 150 * time.Millisecond
)

// adopter finds restarted servers before the store lists them. A restarted
// server gets another id and registers it in the store, which takes a second,
// or longer while the store is unavailable. Its address stays the service's for a
// while: a server that answers there in that time is the restarted one.
type adopter struct {
	f *Forwarder
	// addressReuse is the time, a time.Duration, for which the address of a
	// stopped server is not given to another; when 0, nothing is adopted.
	addressReuse atomic.Int64
	mu           sync.Mutex
	probing      map[string]bool
}

// startProbing starts probing the address of a server that can't be reached.
func (a *adopter) startProbing(server *directory.Server) {
	service := a.f.service(server.Service)
	_, end := a.addressWindow(server)
	if service == nil || service.HealthPath == "" || time.Now().After(end) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.probing[server.ID] {
		return
	}
	a.probing[server.ID] = true
	go a.f.guard.Run("check", func() { a.probeUntilAdopted(server, service.HealthPath, end) })
}

// addressWindow returns when a server certainly ran, and until when its address is certainly its own or its restarted
// process's; both are zero when unknown. When data of the server was received doesn't count: it may be handled long after
// the server's end, because the network, a slow client or a pause of this process held it up.
func (a *adopter) addressWindow(server *directory.Server) (ranAt, end time.Time) {
	reuse := time.Duration(a.addressReuse.Load())
	ranAt = a.f.selector.lastRan(server.ID)
	if reuse <= 0 || ranAt.IsZero() {
		return time.Time{}, time.Time{}
	}
	return ranAt, ranAt.Add(reuse - adoptMargin)
}

// handleReplacement handles an answer in which another server id came from the
// address of a server. While the address is reserved, it is the same server,
// restarted, and is adopted; otherwise the old entry is removed.
func (a *adopter) handleReplacement(server *directory.Server, id string) {
	ranAt, end := a.addressWindow(server)
	if id == "" || time.Now().After(end) || !a.adopt(server, id, ranAt) {
		a.f.directory.Remove(server.ID, server.Revision)
	}
}

// adopt replaces a server, which ran at a time, by the one that answers at its address. It reports
// whether the old server was still listed.
func (a *adopter) adopt(server *directory.Server, id string, ranAt time.Time) bool {
	if a.f.directory.Adopt(server, id) == nil {
		return false
	}
	event.Log(a.f.logger, event.ServerAdopted).Str("server", id).Str("before", server.ID).Str("address", server.Address).
		Dur("after_ms", time.Since(a.f.selector.lastResponse(server.ID))).Dur("ran_ms", time.Since(ranAt)).Send()
	return true
}

// probeUntilAdopted probes the address until a restarted server answers and is
// adopted, or until end, when the address may be reassigned to another service.
func (a *adopter) probeUntilAdopted(server *directory.Server, path string, end time.Time) {
	defer func() {
		a.mu.Lock()
		delete(a.probing, server.ID)
		a.mu.Unlock()
	}()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if !pause.For(ctx, time.Until(a.f.selector.lastResponse(server.ID).Add(firstAdoptProbeDelay))) {
		return
	}
	request := a.f.protocol.IdentityRequest(server.Address, path)
	for pause.For(ctx, adoptProbeInterval) {
		if a.f.selector.refusing(server) > 0 {
			continue
		}
		a.f.meters.count("probes")
		response, _, err := a.f.query(ctx, server, request, maxReportBytes, adoptProbeTimeout)
		if err != nil || ctx.Err() != nil {
			continue // No answer yet: the address is probed again until the deadline.
		}
		id := a.f.protocol.ParseAnswer(response).Server
		if response.Status != 200 || id == "" || id == server.ID {
			continue
		}
		a.handleReplacement(server, id)
		return
	}
}
