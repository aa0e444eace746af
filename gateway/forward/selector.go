package forward

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/pace"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// selector joins the placement decisions with the directory. It is safe for
// concurrent use.
type selector struct {
	directory *directory.Directory
	regions   map[string]string
	group     func() peers.Group
	lost      func(server *directory.Server, down bool)
	limits    secondsends.Limits
	logger    zerolog.Logger
	started   time.Time
	mu        sync.Mutex
	ledger    *placement.Ledger
	budgets   map[string]*secondsends.Budget
	// usages holds what other instances of the data centre stated, by service
	// and instance.
	usages map[string]map[string]statedUsage
	// known holds the incarnation behind each record of the ledger.
	known map[string]*directory.Server
	// paces holds how fast the generations of each service run.
	paces map[string]*pace.Estimator
}

func newSelector(options Options) *selector {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &selector{
		directory: options.Directory,
		regions:   options.Regions,
		group:     options.Group,
		lost:      options.OnUnreachable,
		limits:    options.SecondSends,
		logger:    options.Logger,
		started:   time.Now(),
		ledger:    placement.NewLedger(options.Policy, options.Place, random),
		budgets:   make(map[string]*secondsends.Budget),
		usages:    make(map[string]map[string]statedUsage),
		known:     make(map[string]*directory.Server),
		paces:     make(map[string]*pace.Estimator),
	}
}

// candidates returns the servers of a service that take new requests, those
// that failed the request only when there are no others; mu is held.
func (s *selector) candidates(service *route.Service, skip func(id string) bool) []placement.Candidate {
	servers := s.directory.Snapshot().ForService(service.Name)
	chosen := make([]placement.Candidate, 0, len(servers))
	skipped := 0
	for _, server := range servers {
		if server.Draining {
			continue
		}
		s.refresh(server)
		candidate := placement.Candidate{
			ID:    server.ID,
			Place: placement.Place{DataCentre: server.DataCentre, Region: s.regions[server.DataCentre]},
			Slots: server.Slots,
		}
		if service.Engine != nil {
			candidate.MemoryTokens = service.Engine.MemoryTokens
		}
		chosen = append(chosen, candidate)
		if skip(server.ID) {
			// Skipped servers stand at the front.
			last := len(chosen) - 1
			chosen[skipped], chosen[last] = chosen[last], chosen[skipped]
			skipped++
		}
	}
	if skipped < len(chosen) {
		return chosen[skipped:]
	}
	return chosen
}

// refresh forgets what is known of an earlier process with the same id.
func (s *selector) refresh(server *directory.Server) {
	if old := s.known[server.ID]; old != nil && !old.SameProcess(server) {
		s.ledger.Forget(server.ID)
	}
	s.known[server.ID] = server
}

// Tick forgets servers that left the directory.
func (s *selector) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.directory.Snapshot()
	if len(s.known) <= len(snapshot.All) {
		return
	}
	for id := range s.known {
		if snapshot.Find(id) == nil {
			delete(s.known, id)
			s.ledger.Forget(id)
		}
	}
}

// forCall chooses the server of a call.
func (s *selector) forCall(service *route.Service, skip func(string) bool) *directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, found := s.ledger.ChooseCall(time.Now(), s.candidates(service, skip))
	if !found {
		return nil
	}
	return s.directory.Snapshot().Find(id)
}

// forGeneration chooses the server of a generation.
func (s *selector) forGeneration(service *route.Service, size placement.Generation, skip func(string) bool) (*directory.Server, placement.Choice) {
	place := s.group()
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(service, skip)
	placement.Partition{Rank: place.Rank, Instances: place.Members}.MarkOutside(candidates)
	choice, found := s.ledger.ChooseGeneration(time.Now(), size, candidates)
	if !found {
		return nil, choice
	}
	return s.directory.Snapshot().Find(choice.ID), choice
}

// forCopy chooses the server that keeps a copy; nil when there is none with
// room.
func (s *selector) forCopy(service *route.Service, size placement.Generation, running *directory.Server) *directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := placement.Candidate{ID: running.ID, Place: placement.Place{DataCentre: running.DataCentre, Region: s.regions[running.DataCentre]}}
	id, found := s.ledger.ChooseCopy(time.Now(), size, at, s.candidates(service, func(id string) bool { return id == running.ID }))
	if !found {
		return nil
	}
	return s.directory.Snapshot().Find(id)
}

// unreachable notes that a server could not be reached or fell silent.
func (s *selector) unreachable(server *directory.Server, cause error) {
	s.mu.Lock()
	down := errors.Is(cause, syscall.ECONNREFUSED)
	until := s.ledger.Unreachable(time.Now(), server.ID, server.DataCentre, down)
	s.mu.Unlock()
	s.lost(server, down)
	event.Log(s.logger, event.ServerSuspected).Str("server", server.ID).Str("address", server.Address).
		Dur("avoid_ms", time.Until(until)).AnErr("cause", cause).Send()
}

// update runs a change of the ledger.
func (s *selector) update(change func(ledger *placement.Ledger, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.ledger, time.Now())
}

// request notes a client's request for the budget of second sends.
func (s *selector) request(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).RecordRequest(time.Since(s.started))
}

// statedUsage is what another instance stated.
type statedUsage struct {
	usage secondsends.Usage
	at    time.Time
}

// secondSend takes one second send of a request to a service and reports
// whether it is allowed.
func (s *selector) secondSend(request, service string) bool {
	place := s.group()
	s.mu.Lock()
	defer s.mu.Unlock()
	group := secondsends.Group{OwnShare: 1 / float64(place.Instances), GroupShare: float64(place.Members) / float64(place.Instances)}
	for instance, stated := range s.usages[service] {
		if time.Since(stated.at) > s.limits.Window {
			delete(s.usages[service], instance)
			continue
		}
		group.Peers = group.Peers.Plus(stated.usage)
	}
	budget, now := s.budget(service), time.Since(s.started)
	if budget.Take(now, group) {
		return true
	}
	own := budget.Usage(now)
	event.Log(s.logger, event.SecondSendDenied).Str("request", request).Str("service", service).
		Int("own_requests", own.Requests).Int("own_seconds", own.SecondSends).Int("others_requests", group.Peers.Requests).
		Int("others_seconds", group.Peers.SecondSends).Int("instances", place.Instances).Int("members", place.Members).Send()
	return false
}

func (s *selector) budget(service string) *secondsends.Budget {
	budget := s.budgets[service]
	if budget == nil {
		budget = secondsends.NewBudget(s.limits)
		s.budgets[service] = budget
	}
	return budget
}
