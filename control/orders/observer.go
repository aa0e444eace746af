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

// observer polls the engines and holds the last observation of each.
type observer struct {
	engines      *engine.Client
	observations map[string]*observation
}

// observation is the observed state of one engine. since is the time of the first poll or of the
// last change of alive; hasFailed means that the engine failed at some time.
type observation struct {
	state     engineapi.OrderState
	alive     bool
	since     time.Duration
	hasFailed bool
	failures  int
}

// pollResult is the result of polling one engine.
type pollResult struct {
	server string
	state  engineapi.OrderState
	err    error
}

func newObserver(engines *engine.Client) *observer {
	return &observer{engines: engines, observations: make(map[string]*observation)}
}

// observe polls the state of every engine, at most pollConcurrency at a time.
func (o *observer) observe(ctx context.Context, now time.Duration, servers []estate.BackendServer) {
	answers := make([]pollResult, len(servers))
	slots := make(chan struct{}, pollConcurrency)
	var wait sync.WaitGroup
	for i, server := range servers {
		slots <- struct{}{}
		wait.Go(func() {
			state, err := o.engines.OrderState(ctx, server.Address)
			answers[i] = pollResult{server: server.Name, state: state, err: err}
			<-slots
		})
	}
	wait.Wait()
	for _, answer := range answers {
		o.record(now, answer)
	}
}

// record updates the observation of an engine with the result of one poll.
func (o *observer) record(now time.Duration, answer pollResult) {
	observed := o.observations[answer.server]
	if observed == nil {
		observed = &observation{alive: true, since: now}
		o.observations[answer.server] = observed
	}
	if answer.err != nil {
		observed.failures++
		if observed.alive && observed.failures >= failedPollThreshold {
			observed.alive, observed.since, observed.hasFailed = false, now, true
		}
		return
	}
	observed.failures = 0
	observed.state = answer.state
	if !observed.alive {
		observed.alive, observed.since = true, now
	}
}

// reset deletes all observations. It is called when the lease is lost.
func (o *observer) reset() { clear(o.observations) }

// servers joins the declared servers with their observations. Servers that were not polled yet
// are left out.
func (o *observer) servers(configuration *estate.Configuration, declared []estate.BackendServer) []decision.Server {
	servers := make([]decision.Server, 0, len(declared))
	for _, server := range declared {
		observed := o.observations[server.Name]
		if observed == nil {
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
			Alive:          observed.alive && observed.failures == 0,
			AliveChangedAt: observed.since,
			FailedBefore:   observed.hasFailed,
			Observed:       decision.Assignment{Model: observed.state.Model, Version: observed.state.Version},
			Loading:        observed.state.Loading,
		})
	}
	return servers
}
