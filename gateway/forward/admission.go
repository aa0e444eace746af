package forward

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
)

const (
	// maxWaitingRequests is the maximum number of requests of one service that wait for room at an instance.
	maxWaitingRequests = 128
	// roomCheckInterval is the time between two checks for room while requests wait.
	roomCheckInterval = 20 * time.Millisecond
	// validityCheckInterval is the time between two checks whether a waiting request may still be served.
	validityCheckInterval = 50 * time.Millisecond
	// maxRoomSearches bounds the waiting requests for which one check looks for a server.
	maxRoomSearches = 4
)

// admissions lets requests wait until a backend server has room for them, and refuses those for which none is expected to
// have it in time. It is safe for concurrent use.
type admissions struct {
	f       *Forwarder
	started time.Time
	lastID  atomic.Uint64
	mu      sync.Mutex
	// services holds the services whose requests wait, or have waited; statesWork those whose servers state how long work takes.
	services   map[string]*serviceAdmission
	statesWork map[string]bool
	// peers holds what peers of the data centre state about their waiting requests, by service and instance.
	peers map[string]map[string]peerWaiting
}

func newAdmissions(f *Forwarder) *admissions {
	return &admissions{f: f, started: time.Now(), services: make(map[string]*serviceAdmission), statesWork: make(map[string]bool), peers: make(map[string]map[string]peerWaiting)}
}

// serviceAdmission holds the waiting requests of one service.
type serviceAdmission struct {
	list    *admission.WaitingList
	waiting map[string]*waitingRequest
	// serving is set while a goroutine checks for room.
	serving bool
	// free holds since when servers are seen with room, by server.
	free map[string]freeServer
}

// waitingRequest is a request that waits for room.
type waitingRequest struct {
	id      string
	j       *job
	since   time.Time
	maxWait time.Duration
	find    roomSearch
	// decided receives a grant, or a refusal with the expected time until there is room.
	decided chan roomDecision
}

// roomDecision is the end of a request's wait: grant is nil for a refusal.
type roomDecision struct {
	grant    *grant
	expected time.Duration
}

// applies reports whether requests of a job's service may wait here: where ranks differ, or servers state how long work takes.
func (a *admissions) applies(j *job) bool {
	if j.relayed != nil || a.f.relays.enabled() && a.f.selector.cutOff(j.service) {
		return false
	}
	if j.table.Ranks(j.service).Differ() {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.statesWork[j.service]
}

// recordLoad records what a server of a service states about its load.
func (a *admissions) recordLoad(service string, load *message.ServerLoad) {
	if load == nil || load.WorkPercent == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statesWork[service] = true
}

// await decides on a request: it returns room at once or after a wait, or a refusal. find looks for room, usual is the time
// between two starts that is assumed before any was seen. The error is that of the context.
func (a *admissions) await(ctx context.Context, j *job, waiter admission.Waiter, usual time.Duration, find roomSearch) (roomDecision, *localAnswer, error) {
	waiter.ID, waiter.Rank, waiter.Account = strconv.FormatUint(a.lastID.Add(1), 10), j.table.Ranks(j.service).Position(j.rank), j.account
	w := &waitingRequest{id: waiter.ID, j: j, since: time.Now(), maxWait: waiter.MaxWait(), find: find, decided: make(chan roomDecision, 1)}
	if first := a.arrive(w, waiter, usual); first != nil {
		return *first, nil, nil
	}
	check := time.NewTicker(validityCheckInterval)
	defer check.Stop()
	for {
		select {
		case decided := <-w.decided:
			return decided, nil, nil
		case <-ctx.Done():
			a.leave(w)
			return roomDecision{}, nil, ctx.Err()
		case <-check.C:
			if answer := a.f.invalidated(j); answer != nil {
				a.leave(w)
				return roomDecision{}, answer, nil
			}
		}
	}
}

// arrive returns the decision on a request unless it waits.
func (a *admissions) arrive(w *waitingRequest, waiter admission.Waiter, usual time.Duration) *roomDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.service(w.j)
	var room *grant
	if s.list.Len() == 0 || s.list.MayStart(waiter.Rank) {
		room = a.search(w, s)
	}
	for _, decision := range s.list.Arrive(a.now(), waiter, room != nil, usual) {
		switch {
		case decision.ID != w.id:
			a.refuse(s, decision, refusedDisplaced)
		case decision.Verdict == admission.Start:
			return &roomDecision{grant: room}
		case decision.Verdict == admission.Refuse:
			a.f.logNotAdmitted(w, decision, refusedExpected)
			return &roomDecision{expected: decision.Expected}
		default:
			a.f.logWaits(w, decision, waiter.Rank)
			s.waiting[w.id] = w
			if !s.serving {
				s.serving = true
				go a.serve(s)
			}
		}
	}
	return nil
}

// service returns the admission of a job's service. The caller holds mu.
func (a *admissions) service(j *job) *serviceAdmission {
	s := a.services[j.service]
	if s == nil {
		s = &serviceAdmission{list: admission.NewWaitingList(maxWaitingRequests, j.table.Ranks(j.service).Count()), waiting: make(map[string]*waitingRequest), free: make(map[string]freeServer)}
		a.services[j.service] = s
	}
	return s
}

// serve starts and refuses waiting requests until none waits.
func (a *admissions) serve(s *serviceAdmission) {
	ticker := time.NewTicker(roomCheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !a.check(s) {
			return
		}
	}
}

// check refuses the requests that have waited for too long and starts those for which there is room. It reports whether requests
// still wait.
func (a *admissions) check(s *serviceAdmission) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, decision := range s.list.Expire(a.now()) {
		a.refuse(s, decision, refusedWaited)
	}
	for a.startOne(s) {
	}
	a.f.meters.set("admission.waiting", int64(a.waitingRequests()))
	if len(s.waiting) == 0 {
		clear(s.free)
		s.serving = false
		return false
	}
	return true
}

// startOne starts the first waiting request for which there is room, and reports whether there is one. The caller holds mu.
func (a *admissions) startOne(s *serviceAdmission) bool {
	ids := s.list.Next(a.now())
	for _, id := range ids[:min(len(ids), maxRoomSearches)] {
		w := s.waiting[id]
		if room := a.search(w, s); room != nil {
			s.list.Started(a.now(), id)
			delete(s.waiting, id)
			a.f.logGranted(w, room)
			w.decided <- roomDecision{grant: room}
			return true
		}
	}
	return false
}

// refuse ends the wait of a request without room. The caller holds mu.
func (a *admissions) refuse(s *serviceAdmission, decision admission.Decision, reason notAdmittedReason) {
	w := s.waiting[decision.ID]
	if w == nil {
		return
	}
	delete(s.waiting, decision.ID)
	a.f.logNotAdmitted(w, decision, reason)
	w.decided <- roomDecision{expected: decision.Expected}
}

// leave ends the wait of a request that is answered in another way.
func (a *admissions) leave(w *waitingRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.services[w.j.service]; s != nil {
		s.list.Remove(w.id)
		delete(s.waiting, w.id)
	}
	select {
	case decided := <-w.decided:
		if decided.grant != nil {
			decided.grant.release()
		}
	default:
	}
}

func (a *admissions) waitingRequests() int {
	count := 0
	for _, s := range a.services {
		count += len(s.waiting)
	}
	return count
}

func (a *admissions) now() time.Duration { return time.Since(a.started) }
