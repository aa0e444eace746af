package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

const (
	// promptFindTimeout bounds the search for a prompt, and promptQueryTimeout one question to an
	// engine: a new connection and an answer take two round trips, 120 ms between regions.
	promptFindTimeout  = 200 * time.Millisecond
	promptQueryTimeout = 250 * time.Millisecond
	// promptSweepLifetime is how long the answers to a sweep serve further searches. Callers come
	// again together when their instances fail.
	promptSweepLifetime = time.Second
	// maxSweptEngines bounds the engines that a sweep asks.
	maxSweptEngines = 64
)

// promptFinder finds the engines that keep the prompts of streams that were interrupted elsewhere.
// Their callers come again at any instance, which has no record of the first attempt when all
// instances failed; reading a prompt again takes an engine a second. It is safe for concurrent use.
type promptFinder struct {
	f      *Forwarder
	mu     sync.Mutex
	sweeps map[string]*promptSweep
}

// promptLocation is an engine that keeps tokens of a prompt.
type promptLocation struct {
	server *directory.Server
	tokens int
}

// promptSweep asks the engines of a service once.
type promptSweep struct {
	started time.Time
	mu      sync.Mutex
	// changed is closed and replaced after each answer, pending counts those that are missing.
	changed   chan struct{}
	pending   int
	locations map[string][]promptLocation
	// uncertain holds the software versions of the engines that may keep more than was stated: those
	// that did not answer, or only in part.
	uncertain map[string]bool
	// partial is set when not all engines were asked.
	partial bool
}

// find returns an engine of the service that keeps the prompt with a key and that the binding admits,
// and the tokens that it keeps; the zero location when none is found in time.
func (p *promptFinder) find(ctx context.Context, service *route.Service, key string, binding versionBinding) promptLocation {
	ctx, cancel := context.WithTimeout(ctx, promptFindTimeout)
	defer cancel()
	sweep := p.sweep(service)
	for {
		locations, pending, changed := sweep.lookUp(key)
		if location := longest(locations, binding); location.server != nil || pending == 0 {
			return location
		}
		select {
		case <-ctx.Done():
			return promptLocation{}
		case <-changed:
		}
	}
}

// longest returns the location of most tokens among those that the binding admits.
func longest(locations []promptLocation, binding versionBinding) (best promptLocation) {
	for _, location := range locations {
		if binding.admits(location.server) && !location.server.Draining && location.tokens > best.tokens {
			best = location
		}
	}
	return best
}

// versionOf returns the software version of the engines that have read the whole prompt with a key
// and a size in tokens. It is empty when they have several versions, or when an engine of another
// version did not answer in time, or may keep more than it stated.
func (p *promptFinder) versionOf(ctx context.Context, service *route.Service, key string, size int) string {
	ctx, cancel := context.WithTimeout(ctx, promptFindTimeout)
	defer cancel()
	sweep := p.sweep(service)
	for {
		_, pending, changed := sweep.lookUp(key)
		if pending == 0 {
			return sweep.versionOf(key, size)
		}
		select {
		case <-ctx.Done():
			return ""
		case <-changed:
		}
	}
}

// versionOf is promptFinder.versionOf after all engines have answered or failed to.
func (s *promptSweep) versionOf(key string, size int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make(map[string]bool)
	version := ""
	for _, location := range s.locations[key] {
		if location.tokens >= max(1, size) {
			version = location.server.SoftwareVersion
			versions[version] = true
		}
	}
	if len(versions) != 1 {
		return ""
	}
	for other := range s.uncertain {
		if other != version {
			return ""
		}
	}
	if s.partial {
		return ""
	}
	return version
}

// sweep returns the current sweep of a service, and starts one unless there is a recent one.
func (p *promptFinder) sweep(service *route.Service) *promptSweep {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.sweeps[service.Name]; current != nil && time.Since(current.started) < promptSweepLifetime {
		return current
	}
	servers, partial := p.f.selector.sweepTargets(service.Name)
	started := &promptSweep{
		started: time.Now(), changed: make(chan struct{}), pending: len(servers), partial: partial,
		locations: make(map[string][]promptLocation), uncertain: make(map[string]bool),
	}
	p.sweeps[service.Name] = started
	for _, server := range servers {
		go func() {
			if p.f.guard.Run("check", func() { p.ask(started, server) }) {
				started.add(server, message.CacheReport{Partial: true})
			}
		}()
	}
	return started
}

// ask asks one engine for the prompts that it keeps.
func (p *promptFinder) ask(sweep *promptSweep, server *directory.Server) {
	p.f.meters.count("probes")
	response, body, err := p.f.query(context.Background(), server, p.f.protocol.CacheReportRequest(server.Address), maxCacheReportBytes, promptQueryTimeout)
	if err != nil || response.Status != 200 {
		sweep.add(server, message.CacheReport{Partial: true})
		return
	}
	report, err := p.f.protocol.ParseCacheReport(body)
	if err != nil {
		event.Log(p.f.logger, event.ReportInvalid).Str("server", server.ID).Err(err).Send()
		sweep.add(server, message.CacheReport{Partial: true})
		return
	}
	sweep.add(server, report)
}

// add adds the answer of an engine, an empty partial one when it did not answer.
func (s *promptSweep) add(server *directory.Server, report message.CacheReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	if report.Partial {
		s.uncertain[server.SoftwareVersion] = true
	}
	for key, tokens := range report.TokensByPrompt {
		s.locations[key] = append(s.locations[key], promptLocation{server: server, tokens: tokens})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// lookUp returns where a prompt is kept, the number of missing answers, and a channel that is closed
// after the next one.
func (s *promptSweep) lookUp(key string) (locations []promptLocation, pending int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.locations[key], s.pending, s.changed
}

// sweepTargets returns the engines of a service that a sweep asks: those of the instance's data
// centre first, then others in random order, and draining ones last. partial is set when there are
// more, or some that refuse requests or take none now by the rate that they state.
func (s *selector) sweepTargets(service string) (targets []*directory.Server, partial bool) {
	var local, others, draining []*directory.Server
	for _, server := range s.directory.Snapshot().ForService(service) {
		switch {
		case s.refusing(server) > 0 || !s.takesAnother(server):
			partial = true
		case server.Draining:
			draining = append(draining, server)
		case server.DataCentre == s.place.DataCentre:
			local = append(local, server)
		default:
			others = append(others, server)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	targets = slices.Concat(local, others, draining)
	if len(targets) > maxSweptEngines {
		return targets[:maxSweptEngines], true
	}
	return targets, partial
}
