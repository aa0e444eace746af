package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/serverrate"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
)

// maxRateRetryAfter bounds the time to come back that rejected clients get while all servers state a rate: other instances may
// take their requests earlier.
const maxRateRetryAfter = time.Second

// rateShare is the share of this instance at a server that states a rate.
type rateShare struct {
	share      serverrate.Share
	computedAt time.Time
}

// updateRateShares computes the shares of this instance at the servers of a service that state a rate, unless they are recent.
// It is called without mu, which peers must not wait for.
func (s *selector) updateRateShares(service string) {
	now := time.Now()
	var outdated []*directory.Server
	s.mu.Lock()
	if s.rates.Any() {
		for _, server := range s.directory.Snapshot().ForService(service) {
			if _, stated := s.rates.Rate(now, server.ID); stated && now.Sub(s.rateShares[server.ID].computedAt) >= shareLifetime {
				outdated = append(outdated, server)
			}
		}
	}
	s.mu.Unlock()
	if len(outdated) == 0 {
		return
	}
	shares := s.shareAt(outdated)
	s.mu.Lock()
	defer s.mu.Unlock()
	for server, share := range shares {
		s.rateShares[server] = rateShare{share: serverrate.Share(share), computedAt: now}
	}
}

// rateShareAt returns the share of this instance at a server. An instance that stops gives its shares up: the others don't count it
// any more. The caller holds mu.
func (s *selector) rateShareAt(server string) serverrate.Share {
	if s.stopping {
		return serverrate.Share{}
	}
	return s.rateShares[server].share
}

// withinRate reports whether this instance may send a server another request by the rate that the server states. The caller
// holds mu.
func (s *selector) withinRate(now time.Time, server string) bool {
	return s.rates.Allows(now, server, s.rateShareAt(server))
}

// preferDue returns the candidates that are to get a call, so that it is noticed when they state no rate any more; all if there
// are none. The caller holds mu.
func (s *selector) preferDue(now time.Time, candidates []placement.Candidate, skip func(id string) bool) []placement.Candidate {
	var due []placement.Candidate
	for i := range candidates {
		id := candidates[i].ID
		if s.rates.Due(now, id, s.rateShareAt(id)) && !skip(id) && s.ledger.Refusing(now, id) == 0 && !s.ledger.Avoided(now, id, candidates[i].Place.DataCentre) {
			due = append(due, candidates[i])
		}
	}
	if len(due) == 0 {
		return candidates
	}
	return due
}

// takesAnother is withinRate for a server that was not chosen among candidates.
func (s *selector) takesAnother(server *directory.Server) bool {
	s.updateRateShares(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withinRate(time.Now(), server.ID)
}

// recordUnchosenSend counts a request that is sent to a server without a choice: a repeated one, one that goes on at its
// server, or a question of this instance.
func (s *selector) recordUnchosenSend(server *directory.Server) {
	s.updateRateShares(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rates.Sent(time.Now(), server.ID, s.rateShareAt(server.ID))
}

// forgetRate removes what is known of the rate of a server that ended or restarted. The caller holds mu.
func (s *selector) forgetRate(server string) {
	s.rates.Forget(server)
	delete(s.rateShares, server)
}

// giveUpShares ends this instance's parts of the rates that servers state.
func (s *selector) giveUpShares() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// recordRequestRate records what an answer says about the rate of its server. Answers to questions of this instance need not
// state it.
func (s *selector) recordRequestRate(server *directory.Server, answer *message.Answer) {
	if answer.Rate.Invalid || !answer.Rate.Stated && answer.RequestID == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.rates.Answered(time.Now(), server.ID, answer.Rate.PerSecond, answer.Rate.Stated) {
	case serverrate.Stated:
		event.Log(s.logger, event.RequestRateStated).Str("server", server.ID).Str("service", server.Service).Float64("per_second", answer.Rate.PerSecond).Send()
	case serverrate.Ended:
		event.Log(s.logger, event.RequestRateEnded).Str("server", server.ID).Str("service", server.Service).Send()
	case serverrate.Unchanged:
	}
}

// untilRate returns the time until this instance may send a request to a server of a service that states a rate; limited is false
// when none does.
func (s *selector) untilRate(service string) (until time.Duration, limited bool) {
	s.updateRateShares(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	until = maxRateRetryAfter
	for _, server := range s.directory.Snapshot().ForService(service) {
		if _, stated := s.rates.Rate(now, server.ID); !stated || server.Draining {
			continue
		}
		next, known := s.rates.Next(now, server.ID, s.rateShareAt(server.ID))
		if !known {
			next = callRoomRetryAfter
		}
		until, limited = min(until, next), true
	}
	return max(until, callRoomRetryAfter), limited
}

// rateLimited returns the number of servers that state a rate.
func (s *selector) rateLimited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rates.Count(time.Now())
}

// RequestRates implements peers.Ledger.
func (s *selector) RequestRates() []serverrate.Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rates.Reports(time.Now())
}

// ReportRequestRates implements peers.Ledger.
func (s *selector) ReportRequestRates(statements []serverrate.Statement) {
	snapshot := s.directory.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, statement := range statements {
		if snapshot.Find(statement.Server) != nil {
			s.rates.PeerReported(statement)
		}
	}
}
