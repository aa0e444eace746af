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
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// Limits of polling.
const (
	pollTimeout     = time.Second
	pollConcurrency = 16
	loadPath        = "/v1/load"
)

// Poller requests load reports from the backend servers. The last report of a
// server that doesn't answer stays in use until it is stale.
type Poller struct {
	router     *Router
	interval   time.Duration
	logger     zerolog.Logger
	client     *fasthttp.Client
	mu         sync.Mutex
	polling    map[string]bool
	unanswered map[string]bool
}

// NewPoller returns a poller of a router's servers.
func NewPoller(router *Router, interval time.Duration, logger zerolog.Logger) *Poller {
	return &Poller{
		router: router, interval: interval, logger: logger,
		client: &fasthttp.Client{
			Dial: http1.StrictDial(fasthttp.Dial), ReadTimeout: pollTimeout, WriteTimeout: pollTimeout, NoDefaultUserAgentHeader: true,
		},
		polling:    make(map[string]bool),
		unanswered: make(map[string]bool),
	}
}

// target is a server to poll.
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
		workers.Go(func() { p.runWorker(targets) })
	}
	defer workers.Wait()
	defer close(targets)
	for {
		for _, next := range p.router.pollTargets() {
			if !p.beginPoll(next.name) {
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

// beginPoll reports whether no poll of the server is running, and marks it.
func (p *Poller) beginPoll(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polling[name] {
		return false
	}
	p.polling[name] = true
	return true
}

func (p *Poller) runWorker(targets <-chan target) {
	for next := range targets {
		report, ok := p.fetchReport(next.address)
		if ok {
			p.router.setReport(next.name, time.Now(), report)
		}
		p.endPoll(next.name, ok)
	}
}

// endPoll ends a poll and logs when a server stops or resumes answering.
func (p *Poller) endPoll(name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polling, name)
	if ok == !p.unanswered[name] {
		return
	}
	p.unanswered[name] = !ok
	definition := event.LoadReportMissing
	if ok {
		definition = event.LoadReportResumed
	}
	event.Log(p.logger, definition).Str("backend_server", name).Send()
}

func (p *Poller) fetchReport(address string) (engineapi.LoadReport, bool) {
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

// pollTargets returns the servers to poll.
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
