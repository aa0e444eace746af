package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// adoptStep is the time between two probes of an unreachable server's
	// address. The first is sent adoptFirst after the server's last response:
	// restarts take about a second.
	adoptStep  = 180 * time.Millisecond
	adoptFirst = time.Second
	// adoptMargin is how long before the address may be reassigned to another
	// service answers are no longer accepted.
	adoptMargin = 100 * time.Millisecond
	// adoptTimeout bounds one probe.
	adoptTimeout = 150 * time.Millisecond
)

// adopter finds restarted servers before the store lists them. A restarted
// server gets another id and registers it in the store, which takes a second,
// or longer while the store is unavailable. Its address stays reserved for the
// service for a while: a server that answers there in that time is the restarted
// one.
type adopter struct {
	f *Forwarder
	// reuse is the time, a time.Duration, for which the address of a stopped
	// server is not given to another; when 0, nothing is adopted.
	reuse atomic.Int64
	mu    sync.Mutex
	busy  map[string]bool
}

// lost starts probing the address of a server that can't be reached.
func (a *adopter) lost(server *directory.Server) {
	service := a.f.service(server.Service)
	heard, end := a.span(server)
	if service == nil || service.HealthPath == "" || time.Now().After(end) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy[server.ID] {
		return
	}
	a.busy[server.ID] = true
	go a.ask(server, service.HealthPath, heard, end)
}

// span returns when a server last responded, and until when its address certainly
// belongs to it or to its restarted process; both are zero when unknown.
func (a *adopter) span(server *directory.Server) (heard, end time.Time) {
	reuse := time.Duration(a.reuse.Load())
	a.f.selector.update(func(ledger *placement.Ledger, _ time.Time) { heard = ledger.LastHeard(server.ID) })
	if reuse <= 0 || heard.IsZero() {
		return time.Time{}, time.Time{}
	}
	return heard, heard.Add(reuse - adoptMargin)
}

// replaced handles an answer in which another server id came from the address of
// a server. While the address is reserved, it is the same server, restarted, and
// is adopted; otherwise the old entry is removed.
func (a *adopter) replaced(server *directory.Server, id string) {
	heard, end := a.span(server)
	if id == "" || time.Now().After(end) || !a.adopt(server, id, heard) {
		a.f.directory.Remove(server.ID, server.Revision)
	}
}

// adopt replaces a server by the one that answers at its address. It reports
// whether the old server was still listed.
func (a *adopter) adopt(server *directory.Server, id string, heard time.Time) bool {
	if a.f.directory.Adopt(server, id) == nil {
		return false
	}
	event.Log(a.f.logger, event.ServerAdopted).Str("server", id).Str("before", server.ID).
		Str("address", server.Address).Dur("after_ms", time.Since(heard)).Send()
	return true
}

// ask probes the address until a restarted server answers and is adopted, or
// until end, when the address may be reassigned to another service.
func (a *adopter) ask(server *directory.Server, path string, heard, end time.Time) {
	defer func() {
		a.mu.Lock()
		delete(a.busy, server.ID)
		a.mu.Unlock()
	}()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if !pause.For(ctx, time.Until(heard.Add(adoptFirst))) {
		return
	}
	request := a.f.protocol.IdentityRequest(server.Address, path)
	for pause.For(ctx, adoptStep) {
		a.f.meters.count("probes")
		response, _, err := a.f.ask(ctx, server, request, adoptTimeout)
		if err != nil || ctx.Err() != nil {
			continue // No answer yet: the address is probed again until the deadline.
		}
		id := a.f.protocol.Answer(response).Server
		if response.Status != 200 || id == "" || id == server.ID {
			continue
		}
		a.adopt(server, id, heard)
		return
	}
}
