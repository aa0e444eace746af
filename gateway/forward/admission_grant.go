package forward

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// grant is room at a server that is kept for a request until release is called. Without a server the request goes its
// usual way: no server is usable, or the usual way tells why it can't be served.
type grant struct {
	destination
	release func()
}

// roomSearch looks for a server with room for a request; nil when there is none. takes reports whether this instance may
// take one of a number of free places of a server; nil when it may take any.
type roomSearch func(takes takesPlace) *grant

type takesPlace func(server *directory.Server, free int) bool

// chooseWithRoom chooses the server of a generation among those that the binding admits and that have room for it, and any server
// with room for a call, whose size is zero; usable says whether there is a server at all.
func (s *selector) chooseWithRoom(service *route.Service, binding versionBinding, size placement.Generation, skip func(string) bool, takes takesPlace) (server *directory.Server, choice placement.Choice, usable bool) {
	peerGroup := s.peerGroup()
	ready := s.ready(service, binding)
	shares := s.sharesOf(service)
	s.updateRateShares(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(service, s.withRoom(service, ready, size.MemoryTokens, shares), skip)
	var generation *placement.Generation
	if size.MemoryTokens > 0 {
		generation = &size
	}
	s.decideLeaving(service, size.LeaveKey, generation, candidates)
	placement.Partition{Rank: peerGroup.Rank, Instances: peerGroup.Members}.MarkOutside(candidates)
	now := time.Now()
	withRoom, usable := s.placesAt(now, candidates, size, takes)
	if len(withRoom) == 0 {
		return nil, choice, usable
	}
	if size.MemoryTokens == 0 {
		return s.directory.Snapshot().Find(withRoom[0].ID), choice, true
	}
	choice, found := s.ledger.ChooseGeneration(now, size, withRoom)
	if !found {
		return nil, choice, usable
	}
	s.recordChoice(service, choice.ID)
	return s.directory.Snapshot().Find(choice.ID), choice, true
}

// placesAt returns the candidates that have room, those that are avoided only when all are, and whether there is any candidate
// that takes requests. The caller holds mu.
func (s *selector) placesAt(now time.Time, candidates []placement.Candidate, size placement.Generation, takes takesPlace) (withRoom []placement.Candidate, usable bool) {
	snapshot := s.directory.Snapshot()
	avoided := func(candidate *placement.Candidate) bool {
		return s.ledger.Avoided(now, candidate.ID, candidate.Place.DataCentre)
	}
	candidates = slices.DeleteFunc(candidates, func(candidate placement.Candidate) bool {
		return s.ledger.Refusing(now, candidate.ID) > 0 || snapshot.Find(candidate.ID) == nil
	})
	usable = len(candidates) > 0
	if slices.ContainsFunc(candidates, func(candidate placement.Candidate) bool { return !avoided(&candidate) }) {
		candidates = slices.DeleteFunc(candidates, func(candidate placement.Candidate) bool { return avoided(&candidate) })
	}
	return slices.DeleteFunc(candidates, func(candidate placement.Candidate) bool {
		free := s.ledger.FreePlaces(size, &candidate)
		return free == 0 || takes != nil && !takes(snapshot.Find(candidate.ID), free)
	}), usable
}

// reserve adds a load to a server until the returned function is called.
func (s *selector) reserve(server string, load placement.Load) (release func()) {
	s.withLedger(func(ledger *placement.Ledger, _ time.Time) { ledger.Add(server, load) })
	return func() {
		s.withLedger(func(ledger *placement.Ledger, _ time.Time) { ledger.Add(server, load.Negative()) })
	}
}

// usualStartInterval returns the time between two starts at this instance when all servers of its data centre are full and requests
// of a size run for a time.
func (s *selector) usualStartInterval(service *route.Service, size placement.Generation, runTime time.Duration) time.Duration {
	places := 0
	for _, server := range s.directory.Snapshot().ForService(service.Name) {
		if server.Draining || server.DataCentre != s.place.DataCentre {
			continue
		}
		free := max(1, server.Slots)
		if service.Engine != nil && size.MemoryTokens > 0 {
			free = max(1, min(free, service.Engine.MemoryTokens/size.MemoryTokens))
		}
		places += free
	}
	return runTime * time.Duration(max(1, s.peerGroup().Members)) / time.Duration(max(1, places))
}
