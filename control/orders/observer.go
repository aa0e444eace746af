package orders

import (
	"context"
	"sync"
	"time"

	decision "github.com/wisteriahaven/wisteriahaven/decision/orders"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// observer remembers what was seen of each engine.
type observer struct {
	engines *engine.Client
	seen    map[string]*sighting
}

// sighting is what is known of one engine.
type sighting struct {
	state    engineapi.OrderState
	alive    bool
	since    time.Duration
	returned bool
	failures int
}

// poll is the answer of one engine.
type poll struct {
	server string
	state  engineapi.OrderState
	err    error
}

func newObserver(engines *engine.Client) *observer {
	return &observer{engines: engines, seen: make(map[string]*sighting)}
}

// observe asks every engine for its state.
func (o *observer) observe(ctx context.Context, now time.Duration, servers []estate.BackendServer) {
	answers := make([]poll, len(servers))
	slots := make(chan struct{}, observeConcurrency)
	var wait sync.WaitGroup
	for i, server := range servers {
		slots <- struct{}{}
		wait.Go(func() {
			state, err := o.engines.OrderState(ctx, server.Address)
			answers[i] = poll{server: server.Name, state: state, err: err}
			<-slots
		})
	}
	wait.Wait()
	for _, answer := range answers {
		o.note(now, answer)
	}
}

// note takes one answer into account.
func (o *observer) note(now time.Duration, answer poll) {
	known := o.seen[answer.server]
	if known == nil {
		known = &sighting{alive: true, since: now}
		o.seen[answer.server] = known
	}
	if answer.err != nil {
		known.failures++
		if known.alive && known.failures >= failuresUntilDead {
			known.alive, known.since, known.returned = false, now, true
		}
		return
	}
	known.failures = 0
	known.state = answer.state
	if !known.alive {
		known.alive, known.since = true, now
	}
}

// forget drops what was seen, when the lease is lost.
func (o *observer) forget() { clear(o.seen) }

// servers joins the declared servers with what was seen.
func (o *observer) servers(configuration *estate.Configuration, declared []estate.BackendServer) []decision.Server {
	servers := make([]decision.Server, 0, len(declared))
	for _, server := range declared {
		known := o.seen[server.Name]
		if known == nil {
			continue
		}
		servers = append(servers, decision.Server{
			Name:           server.Name,
			DataCentre:     server.DataCentre,
			Region:         configuration.Region(server.DataCentre),
			Service:        server.Service,
			Spare:          server.Spare,
			Declared:       decision.Assignment{Model: server.Model, Version: server.Version},
			ChecksFencing:  server.ChecksFencing,
			Alive:          known.alive && known.failures == 0,
			AliveChangedAt: known.since,
			FailedBefore:   known.returned,
			Observed:       decision.Assignment{Model: known.state.Model, Version: known.state.Version},
			Loading:        known.state.Loading,
		})
	}
	return servers
}
