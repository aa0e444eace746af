package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/breaker"
	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/routing"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Router implements serving.Router. It is safe for concurrent use.
type Router struct {
	configuration serving.ConfigurationSource
	options       Options
	pipeline      *routing.Pipeline
	started       time.Time
	traffic       *Traffic

	mu        sync.Mutex
	random    *rand.Rand
	current   *estate.Configuration
	snapshot  *snapshot.Snapshot
	servers   map[string]*server
	byIndex   []*server
	instances int
}

// New returns a router over the configuration in force.
func New(configuration serving.ConfigurationSource, options Options) *Router {
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Router{
		configuration: configuration,
		options:       options.withDefaults(),
		pipeline:      routing.Default(),
		started:       time.Now(),
		traffic:       newTraffic(),
		random:        rand.New(rand.NewPCG(seed, seed)),
		servers:       make(map[string]*server),
		instances:     1,
	}
}

// Traffic returns the counters of cross-region bytes.
func (r *Router) Traffic() *Traffic { return r.traffic }

// SetInstances tells how many live instances share the backend servers.
func (r *Router) SetInstanceCount(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = max(1, count)
}

// SetLeaving replaces the leaving marks of backend servers.
func (r *Router) SetLeaving(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.leaving = false
	}
	for _, name := range names {
		if s, ok := r.servers[name]; ok {
			s.leaving = true
		}
	}
}

// Route implements serving.Router.
func (r *Router) Route(request serving.RouteRequest) (serving.Route, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refresh() {
		return serving.Route{}, fault.New(fault.ConfigurationUnset, "no configuration is in force").
			WithExecution(fault.ExecutionNotRun)
	}
	now := r.now()
	view := snapshot.NewView(r.snapshot, request, states{r, now})
	choice, err := r.pipeline.Route(view, r.random)
	if err != nil {
		return serving.Route{}, err
	}
	return r.take(now, request, choice), nil
}

// take claims the chosen server for an attempt.
func (r *Router) take(now time.Duration, request serving.RouteRequest, choice routing.Choice) serving.Route {
	chosen := r.snapshot.Servers[choice.Server]
	s := r.byIndex[choice.Server]
	s.tracker.Started(now)
	probe := s.breaker.Sent(now)
	if request.IsolatedSuspect {
		s.suspects++
	}
	sameRegion := chosen.Region == r.options.Place.Region
	var once sync.Once
	return serving.Route{
		Server:         chosen.BackendServer,
		Reason:         choice.Reason,
		SameDataCentre: chosen.DataCentre == r.options.Place.DataCentre,
		SameRegion:     sameRegion,
		Done: func(outcome serving.AttemptOutcome) {
			once.Do(func() { r.done(s, probe, request.IsolatedSuspect, outcome) })
		},
		Transferred: func(bytes int) {
			if !sameRegion {
				r.traffic.add(request.ClientAccount, bytes)
			}
		},
	}
}

func (r *Router) done(s *server, probe, suspect bool, outcome serving.AttemptOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	s.tracker.Ended(now)
	s.breaker.Ended(now, probe, breakerOutcome(outcome))
	if suspect {
		s.suspects--
	}
}

// refresh takes the configuration in force and reports whether there is one.
func (r *Router) refresh() bool {
	current := r.configuration.Current()
	if current == nil || current == r.current {
		return r.current != nil
	}
	first := r.current == nil
	r.current = current
	r.snapshot = snapshot.Build(current, snapshot.Options{
		Instance:   r.options.Instance,
		Place:      snapshot.Place(r.options.Place),
		SubsetSize: r.options.SubsetSize,
	})
	kept := make(map[string]*server, len(r.snapshot.Servers))
	r.byIndex = make([]*server, len(r.snapshot.Servers))
	for i, declared := range r.snapshot.Servers {
		s, ok := r.servers[declared.Name]
		if !ok || s.address != declared.Address {
			s = r.newServer(declared.Address, first)
		}
		kept[declared.Name] = s
		r.byIndex[i] = s
	}
	r.servers = kept
	return true
}

func (r *Router) newServer(address string, settled bool) *server {
	return &server{
		address: address,
		tracker: load.NewTracker(r.options.Load),
		breaker: breaker.New(r.options.Breaker, r.random),
		since:   r.now(),
		settled: settled,
	}
}

// report takes a load report that was received at the given time.
func (r *Router) report(name string, received time.Time, report engineapi.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[name]
	if !ok {
		return
	}
	at := received.Sub(r.started)
	lag := received.Sub(time.UnixMilli(report.ObservedUnixMilli))
	s.reportedLoad(r.now(), at-min(max(lag, 0), r.options.Load.MaxLag), report)
}

func (r *Router) now() time.Duration { return time.Since(r.started) }

// states reads the servers' state at one time.
type states struct {
	router *Router
	now    time.Duration
}

// State implements snapshot.StateSource.
func (s states) State(index int) snapshot.State {
	r := s.router
	return r.byIndex[index].state(s.now, r.snapshot.Servers[index].BackendServer, r.options, r.instances)
}
