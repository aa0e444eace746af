package routing

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/event"
)

// Bounds of polling.
const (
	pollTimeout     = time.Second
	pollConcurrency = 16
	loadPath        = "/v1/load"
)

// Poller asks the backend servers for their load. A server that doesn't
// answer keeps its last report until that is stale.
type Poller struct {
	router   *Router
	interval time.Duration
	logger   zerolog.Logger
	client   *fasthttp.Client
	mu       sync.Mutex
	busy     map[string]bool
	silent   map[string]bool
}

// NewPoller returns the poller of a router's servers.
func NewPoller(router *Router, interval time.Duration, logger zerolog.Logger) *Poller {
	return &Poller{
		router: router, interval: interval, logger: logger,
		client: &fasthttp.Client{ReadTimeout: pollTimeout, WriteTimeout: pollTimeout, NoDefaultUserAgentHeader: true},
		busy:   make(map[string]bool),
		silent: make(map[string]bool),
	}
}

// target is one server to ask.
type target struct {
	name    string
	address string
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	targets := make(chan target)
	var workers sync.WaitGroup
	for range pollConcurrency {
		workers.Go(func() { p.work(targets) })
	}
	defer workers.Wait()
	defer close(targets)
	for {
		for _, next := range p.router.pollTargets() {
			if !p.claim(next.name) {
				continue
			}
			select {
			case targets <- next:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// claim reports whether the server isn't being asked already.
func (p *Poller) claim(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[name] {
		return false
	}
	p.busy[name] = true
	return true
}

func (p *Poller) work(targets <-chan target) {
	for next := range targets {
		report, ok := p.ask(next.address)
		if ok {
			p.router.report(next.name, time.Now(), report)
		}
		p.finish(next.name, ok)
	}
}

// finish ends a poll and logs when a server falls silent or is back.
func (p *Poller) finish(name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, name)
	if ok == !p.silent[name] {
		return
	}
	p.silent[name] = !ok
	definition := event.LoadReportMissing
	if ok {
		definition = event.LoadReportResumed
	}
	event.Log(p.logger, definition).Str("backend_server", name).Send()
}

func (p *Poller) ask(address string) (engineapi.LoadReport, bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + loadPath)
	if err := p.client.DoTimeout(request, response, pollTimeout); err != nil {
		return engineapi.LoadReport{}, false
	}
	var report engineapi.LoadReport
	if response.StatusCode() != fasthttp.StatusOK || json.Unmarshal(response.Body(), &report) != nil {
		return engineapi.LoadReport{}, false
	}
	return report, true
}

// pollTargets returns the servers to ask for their load.
func (r *Router) pollTargets() []target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refresh() {
		return nil
	}
	targets := make([]target, 0, len(r.snapshot.Servers))
	for _, declared := range r.snapshot.Servers {
		targets = append(targets, target{declared.Name, declared.Address})
	}
	return targets
}
