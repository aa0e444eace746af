package forward

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/decision/pace"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
	"github.com/wisteriahaven/wisteriahaven/decision/serverrate"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// selector chooses servers of the directory by the placement ledger, and keeps the
// budgets of second sends. It is safe for concurrent use.
type selector struct {
	directory     *directory.Directory
	place         placement.Place
	regions       map[string]string
	peerGroup     func() peers.Group
	onUnreachable func(server *directory.Server, down bool)
	// onPeerFailure is called with the id of a server that a peer could not reach some time ago.
	onPeerFailure func(server string, age time.Duration)
	reach         *reachMonitor
	rollouts      *rollouts.Manager
	limits        secondsends.Limits
	logger        zerolog.Logger
	started       time.Time
	// admissions holds the requests that wait for room.
	admissions *admissions
	mu         sync.Mutex
	ledger     *placement.Ledger
	// picture holds the load and speed of servers; readingSpeed is the declared one in prompt tokens a millisecond.
	picture      *load.Picture
	readingSpeed float64
	// balances decide for each service which share of the requests leaves the data centre; statements are what peers are told.
	balances   map[string]*overflow.Balance
	statements map[string]overflow.Statement
	// rejections holds the rejection limits of servers, and shares what this instance may use of those that have one.
	rejections *rejections.Table
	shareAt    func(servers []*directory.Server) map[string]rejections.Share
	shares     map[string]serviceShares
	// rates holds the request rates that servers state, rateShares the shares of this instance at these servers.
	rates      *serverrate.Table
	rateShares map[string]rateShare
	// stopping is set when a planned stop has begun.
	stopping bool
	budgets  map[string]*secondsends.Budget
	// usages holds the usages of the data centre's peers, by service and instance.
	usages map[string]map[string]reportedUsage
	// processes holds the server process that each record of the ledger belongs
	// to, by server id.
	processes map[string]*directory.Server
	// rateEstimators holds the rate estimates of generations by service.
	rateEstimators map[string]*pace.Estimator
}

func newSelector(options Options) *selector {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &selector{
		directory:      options.Directory,
		place:          options.Place,
		regions:        options.Regions,
		peerGroup:      options.Group,
		onUnreachable:  options.OnUnreachable,
		reach:          newReachMonitor(options.Directory),
		rollouts:       options.Rollouts,
		limits:         options.SecondSends,
		logger:         options.Logger,
		started:        time.Now(),
		ledger:         placement.NewLedger(options.Policy, options.Place, random),
		picture:        load.NewPicture(),
		readingSpeed:   options.Policy.PrefillPerMillisecond,
		balances:       make(map[string]*overflow.Balance),
		statements:     make(map[string]overflow.Statement),
		rejections:     rejections.NewTable(),
		shareAt:        options.SharesAt,
		shares:         make(map[string]serviceShares),
		rates:          serverrate.NewTable(time.Now()),
		rateShares:     make(map[string]rateShare),
		budgets:        make(map[string]*secondsends.Budget),
		usages:         make(map[string]map[string]reportedUsage),
		processes:      make(map[string]*directory.Server),
		rateEstimators: make(map[string]*pace.Estimator),
	}
}

// candidates returns servers of a service as candidates, those for which skip returns true only when
// there are no others. The caller holds mu.
func (s *selector) candidates(service *route.Service, servers []*directory.Server, skip func(id string) bool) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(servers))
	skipped, now := 0, time.Now()
	for _, server := range servers {
		s.trackProcess(server)
		candidate := placement.Candidate{
			ID:    server.ID,
			Place: placement.Place{DataCentre: server.DataCentre, Region: s.regions[server.DataCentre]},
			Slots: server.Slots,
		}
		if service.Engine != nil {
			candidate.MemoryTokens = service.Engine.MemoryTokens
		}
		s.describe(now, service, &candidate)
		candidates = append(candidates, candidate)
		if skip(server.ID) {
			// Skipped servers are moved to the front.
			last := len(candidates) - 1
			candidates[skipped], candidates[last] = candidates[last], candidates[skipped]
			skipped++
		}
	}
	if skipped < len(candidates) {
		return candidates[skipped:]
	}
	return candidates
}

// ready returns the servers of a service that take new requests and that the binding admits.
func (s *selector) ready(service *route.Service, binding versionBinding) []*directory.Server {
	return slices.DeleteFunc(slices.Clone(s.directory.Snapshot().ForService(service.Name)), func(server *directory.Server) bool {
		return server.Draining || !binding.admits(server) || s.rollouts.Stopped(server)
	})
}

// resumable returns the servers that may continue a stream with a binding: if none is ready, those that
// have just begun to drain.
func (s *selector) resumable(service *route.Service, binding versionBinding) []*directory.Server {
	if ready := s.ready(service, binding); len(ready) > 0 || !binding.bound {
		return ready
	}
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(s.directory.Snapshot().ForService(service.Name)), func(server *directory.Server) bool {
		return server.Leaving || !server.AcceptsResumption(now) || !binding.admits(server) || s.rollouts.Stopped(server)
	})
}

// trackProcess records the process behind a server's id, and drops the ledger's
// record of an earlier process with the same id.
func (s *selector) trackProcess(server *directory.Server) {
	if old := s.processes[server.ID]; old != nil && !old.MayBeSameProcess(server) {
		s.ledger.Forget(server.ID)
		s.picture.Forget(server.ID)
		s.rejections.Forget(server.ID)
		s.forgetRate(server.ID)
	}
	s.processes[server.ID] = server
}

// Tick drops the records of servers that left the directory.
func (s *selector) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejections.Expire(time.Now())
	s.rates.Expire(time.Now())
	snapshot := s.directory.Snapshot()
	if len(s.processes) <= len(snapshot.All) {
		return
	}
	for id := range s.processes {
		if snapshot.Find(id) == nil {
			delete(s.processes, id)
			s.ledger.Forget(id)
			s.picture.Forget(id)
			s.forgetRate(id)
		}
	}
}

// chooseForCall chooses the server of a call that the binding admits; nil when there is none.
func (s *selector) chooseForCall(service *route.Service, binding versionBinding, key string, skip func(string) bool) *directory.Server {
	ready := s.ready(service, binding)
	shares := s.sharesOf(service)
	s.updateRateShares(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(service, s.withRoom(service, ready, 0, shares), skip)
	s.decideLeaving(service, key, nil, candidates)
	now := time.Now()
	id, found := s.ledger.ChooseCall(now, s.preferDue(now, candidates, skip))
	if !found {
		return nil
	}
	s.recordChoice(service, id)
	return s.directory.Snapshot().Find(id)
}

// chooseForGeneration chooses the server of a generation that the binding admits; nil when there is none.
func (s *selector) chooseForGeneration(service *route.Service, size placement.Generation, binding versionBinding, skip func(string) bool) (*directory.Server, placement.Choice) {
	peerGroup := s.peerGroup()
	resumable := s.resumable(service, binding)
	shares := s.sharesOf(service)
	s.updateRateShares(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(service, s.withRoom(service, resumable, generationTokens(size), shares), skip)
	s.decideLeaving(service, size.LeaveKey, &size, candidates)
	placement.Partition{Rank: peerGroup.Rank, Instances: peerGroup.Members}.MarkOutside(candidates)
	choice, found := s.ledger.ChooseGeneration(time.Now(), size, candidates)
	if !found {
		return nil, choice
	}
	s.recordChoice(service, choice.ID)
	return s.directory.Snapshot().Find(choice.ID), choice
}

// chooseForCopy chooses the server that holds the KV cache copy of a generation
// that runs at another; nil when no server of the same software version has enough free memory.
func (s *selector) chooseForCopy(service *route.Service, size placement.Generation, running *directory.Server) *directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := placement.Candidate{ID: running.ID, Place: placement.Place{DataCentre: running.DataCentre, Region: s.regions[running.DataCentre]}}
	id, found := s.ledger.ChooseCopy(time.Now(), size, at, s.candidates(service, s.ready(service, bindTo(running)), func(id string) bool { return id == running.ID }))
	if !found {
		return nil
	}
	return s.directory.Snapshot().Find(id)
}

// recordUnreachable records that a server was unreachable or its stream stalled.
func (s *selector) recordUnreachable(server *directory.Server, cause error) {
	s.mu.Lock()
	down := errors.Is(cause, syscall.ECONNREFUSED)
	until := s.ledger.Unreachable(time.Now(), server.ID, server.DataCentre, down)
	s.mu.Unlock()
	s.reach.suspect(server)
	if !s.cutOff(server.Service) {
		s.onUnreachable(server, down)
	}
	event.Log(s.logger, event.ServerSuspected).Str("server", server.ID).Str("address", server.Address).
		Dur("avoid_ms", time.Until(until)).AnErr("cause", cause).Send()
}

// avoided reports whether a server is avoided now because it or its data centre failed.
func (s *selector) avoided(server *directory.Server) (avoided bool) {
	s.withLedger(func(ledger *placement.Ledger, now time.Time) {
		avoided = ledger.Avoided(now, server.ID, server.DataCentre)
	})
	return avoided
}

// recordRefusal records that a server wants no request of this instance for a time.
func (s *selector) recordRefusal(server *directory.Server, retryAfter time.Duration) {
	s.withLedger(func(ledger *placement.Ledger, now time.Time) { ledger.Refuses(now.Add(retryAfter), server.ID) })
	event.Log(s.logger, event.ServerRefusing).Str("server", server.ID).Dur("retry_after_ms", retryAfter).Send()
}

// refusing returns for how long a server wants no request of this instance, 0 if it takes them.
func (s *selector) refusing(server *directory.Server) (remaining time.Duration) {
	s.withLedger(func(ledger *placement.Ledger, now time.Time) { remaining = ledger.Refusing(now, server.ID) })
	return remaining
}

// untilServer returns when a service is expected to have a server that takes requests: when the
// first of those that refuse them takes them again, else after noServerRetryAfter.
func (s *selector) untilServer(service string) time.Duration {
	earliest := time.Duration(0)
	for _, server := range s.directory.Snapshot().ForService(service) {
		if remaining := s.refusing(server); !server.Draining && remaining > 0 && (earliest == 0 || remaining < earliest) {
			earliest = remaining
		}
	}
	if earliest == 0 {
		return noServerRetryAfter
	}
	return earliest
}

// withLedger calls change with the ledger and the current time, with mu held.
func (s *selector) withLedger(change func(ledger *placement.Ledger, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.ledger, time.Now())
}

// recordRequest adds a client's request to the budget of second sends.
func (s *selector) recordRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).RecordRequest(time.Since(s.started))
}

// reportedUsage is the usage that another instance reported.
type reportedUsage struct {
	usage      secondsends.Usage
	receivedAt time.Time
}

// takeSecondSend takes one second send from the budget of a service and reports
// whether it is allowed.
func (s *selector) takeSecondSend(request, service string) bool {
	peerGroup := s.peerGroup()
	s.mu.Lock()
	defer s.mu.Unlock()
	group := secondsends.Group{OwnShare: 1 / float64(peerGroup.Instances), GroupShare: float64(peerGroup.Members) / float64(peerGroup.Instances)}
	for instance, reported := range s.usages[service] {
		if time.Since(reported.receivedAt) > s.limits.Window {
			delete(s.usages[service], instance)
			continue
		}
		group.Peers = group.Peers.Plus(reported.usage)
	}
	budget, now := s.budget(service), time.Since(s.started)
	if budget.Take(now, group) {
		return true
	}
	own := budget.Usage(now)
	event.Log(s.logger, event.SecondSendDenied).Str("request", request).Str("service", service).
		Int("own_requests", own.Requests).Int("own_seconds", own.SecondSends).Int("others_requests", group.Peers.Requests).
		Int("others_seconds", group.Peers.SecondSends).Int("instances", peerGroup.Instances).Int("members", peerGroup.Members).Send()
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
