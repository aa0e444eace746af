package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

const (
	// watchPeriod is the time between two questions of an instance about the load of servers, figureAge the age of a figure
	// from which a server is asked again.
	watchPeriod  = time.Second
	figureAge    = 2 * time.Second
	watchTimeout = 250 * time.Millisecond
)

// loadWatch asks the servers of the own data centre how long work takes there, one at a time, where servers state it: their
// speeds differ, and those that get few requests would stay unknown. The instances of the data centre share the servers.
type loadWatch struct {
	f       *Forwarder
	askedAt time.Time
}

// tick asks the next server when it is time.
func (w *loadWatch) tick(now time.Time) {
	if now.Sub(w.askedAt) < watchPeriod {
		return
	}
	w.askedAt = now
	if server := w.choose(now); server != nil {
		go w.ask(server)
	}
}

// choose returns the server of this instance's part whose figure is oldest; nil when all are known.
func (w *loadWatch) choose(now time.Time) (oldest *directory.Server) {
	f, group := w.f, w.f.selector.peerGroup()
	oldestAt := now.Add(-figureAge)
	f.selector.mu.Lock()
	defer f.selector.mu.Unlock()
	position := 0
	for _, server := range f.directory.Snapshot().All {
		if server.Draining || server.DataCentre != f.selector.place.DataCentre {
			continue
		}
		position++
		if !f.selector.picture.States(server.Service) || group.Members > 1 && position%group.Members != group.Rank {
			continue
		}
		if _, limited := f.selector.rates.Rate(now, server.ID); limited {
			continue
		}
		if f.selector.ledger.Refusing(now, server.ID) > 0 || f.selector.ledger.Avoided(now, server.ID, server.DataCentre) {
			continue
		}
		if at := f.selector.picture.Heard(server.ID); at.Before(oldestAt) {
			oldest, oldestAt = server, at
		}
	}
	return oldest
}

// ask reads the answer of a server at its health path.
func (w *loadWatch) ask(server *directory.Server) {
	service := w.f.service(server.Service)
	if service == nil || service.HealthPath == "" {
		return
	}
	w.f.meters.count("servers.load_asked")
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	// What the answer states is recorded as it is read; a failure says nothing about the server's work.
	_, _, _ = w.f.query(ctx, server, w.f.protocol.IdentityRequest(server.Address, service.HealthPath), maxReportBytes, watchTimeout)
}
