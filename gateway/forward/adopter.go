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
	// adoptStep is the time between two questions to the address of a lost
	// server, adoptFirst the time after it was last heard of the first one:
	// restarts take about a second.
	adoptStep  = 180 * time.Millisecond
	adoptFirst = time.Second
	// adoptMargin is how long before its address may belong to another service
	// the last answer counts.
	adoptMargin = 100 * time.Millisecond
	// adoptTimeout bounds one question.
	adoptTimeout = 150 * time.Millisecond
)

// adopter finds restarted servers before the store tells of them. A server that
// restarts gets another id and registers it in the store, which takes a second,
// or longer while the store is away. Its address stays the service's for a
// while: whoever answers there in that time is the restarted server.
type adopter struct {
	f *Forwarder
	// reuse is the time, a time.Duration, in which the address of an ended server
	// belongs to nobody else; without it nothing is adopted.
	reuse atomic.Int64
	mu    sync.Mutex
	busy  map[string]bool
}

// lost begins to ask at the address of a server that can't be reached.
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

// span returns when a server was heard last, and until when its address is certainly
// its own or a restarted one's; both are zero when that is not known.
func (a *adopter) span(server *directory.Server) (heard, end time.Time) {
	reuse := time.Duration(a.reuse.Load())
	a.f.selector.update(func(ledger *placement.Ledger, _ time.Time) { heard = ledger.LastReceived(server.ID) })
	if reuse <= 0 || heard.IsZero() {
		return time.Time{}, time.Time{}
	}
	return heard, heard.Add(reuse - adoptMargin)
}

// replaced takes over that another server answered at the address of a server and
// named itself: the same one, restarted, if that one was heard a moment ago.
func (a *adopter) replaced(server *directory.Server, id string) {
	heard, end := a.span(server)
	if id == "" || time.Now().After(end) || !a.adopt(server, id, heard) {
		a.f.directory.Remove(server.ID, server.Revision)
	}
}

// adopt replaces a server by the one that answers at its address, and reports
// whether it was still listed.
func (a *adopter) adopt(server *directory.Server, id string, heard time.Time) bool {
	if a.f.directory.Adopt(server, id) == nil {
		return false
	}
	event.Log(a.f.logger, event.ServerAdopted).Str("server", id).Str("before", server.ID).
		Str("address", server.Address).Dur("after_ms", time.Since(heard)).Send()
	return true
}

// ask asks until somebody answers or the address may be another service's, at
// end.
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
			continue // Nobody answers yet; it is asked again until the time is over.
		}
		id := a.f.protocol.ParseAnswer(response).Server
		if response.Status != 200 || id == "" || id == server.ID {
			continue
		}
		a.adopt(server, id, heard)
		return
	}
}
