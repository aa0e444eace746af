package forward

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

const (
	// shareLifetime is how long the shares of this instance at the servers of a service are used.
	shareLifetime = 250 * time.Millisecond
	// callRoomRetryAfter is about the time in which a server ends some calls.
	callRoomRetryAfter = 100 * time.Millisecond
)

// serviceShares holds the shares of this instance at the servers of a service, by server.
type serviceShares struct {
	shares     map[string]rejections.Share
	computedAt time.Time
}

// sharesOf returns the shares of this instance at the servers of a service, nil if none of them states a rejection limit.
// It is called without mu, which peers must not wait for.
func (s *selector) sharesOf(service *route.Service) map[string]rejections.Share {
	s.mu.Lock()
	limited, known := s.rejections.HasLimits(service.Name), s.shares[service.Name]
	s.mu.Unlock()
	if !limited {
		return nil
	}
	now := time.Now()
	if now.Sub(known.computedAt) < shareLifetime {
		return known.shares
	}
	known = serviceShares{shares: s.shareAt(s.directory.Snapshot().ForService(service.Name)), computedAt: now}
	s.mu.Lock()
	s.shares[service.Name] = known
	s.mu.Unlock()
	return known.shares
}

// withRoom returns the servers that have room for a request of a size in tokens, 0 for a call, and take another one by the rates
// that they state. Without shares all have room. The caller holds mu.
func (s *selector) withRoom(service *route.Service, servers []*directory.Server, tokens int, shares map[string]rejections.Share) []*directory.Server {
	if shares == nil && !s.rates.Any() {
		return servers
	}
	now := time.Now()
	return slices.DeleteFunc(servers, func(server *directory.Server) bool {
		s.trackProcess(server)
		return !s.withinRate(now, server.ID) || shares != nil && !s.hasRoom(now, service, server, tokens, shares)
	})
}

func (s *selector) hasRoom(now time.Time, service *route.Service, server *directory.Server, tokens int, shares map[string]rejections.Share) bool {
	if s.rejections.Limit(now, server.ID, service.Name) == 0 {
		return true
	}
	share, known := shares[server.ID]
	if !known {
		return false
	}
	own, all := s.ledger.LoadAt(server.ID)
	places := server.Slots
	if service.Engine != nil && service.Engine.MemoryTokens > 0 && tokens > 0 {
		places = max(1, min(places, service.Engine.MemoryTokens/tokens))
		if all.Requests > 0 && all.MemoryTokens+tokens > service.Engine.MemoryTokens {
			return false
		}
	}
	return s.rejections.HasRoom(now, server.ID, service.Name, places, share, rejections.Load{Own: own.Requests, All: all.Requests})
}

// recordRejectionLimit records what an answer says about the rejection limit of its server, and whether the server rejected
// the request. It reports whether peers are to be told of a rejection.
func (s *selector) recordRejectionLimit(server *directory.Server, answer *message.Answer) (announce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch s.rejections.Answered(now, server.ID, server.Service, answer.RejectionLimit) {
	case rejections.Stated:
		event.Log(s.logger, event.RejectionLimitStated).Str("server", server.ID).Str("service", server.Service).Int("limit", answer.RejectionLimit).Send()
	case rejections.Ended:
		event.Log(s.logger, event.RejectionLimitEnded).Str("server", server.ID).Str("service", server.Service).Send()
	case rejections.Unchanged:
	}
	if !answer.NoRoom || !s.rejections.Rejected(now, server.ID, server.Service) {
		return false
	}
	s.refuseExhausted(now, server)
	return true
}

// refuseExhausted keeps everything from a server that has rejected as many requests as it may. The caller holds mu.
func (s *selector) refuseExhausted(now time.Time, server *directory.Server) {
	if until := s.rejections.ExhaustedUntil(now, server.ID, server.Service); !until.IsZero() {
		s.ledger.Refuses(until, server.ID)
	}
}

// Rejections implements peers.Ledger.
func (s *selector) Rejections() ([]rejections.ServiceLimit, []rejections.ServerRejections) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.rejections.OwnStatements(now), s.rejections.OwnRejections(now)
}

// ReportRejections implements peers.Ledger.
func (s *selector) ReportRejections(instance string, limits []rejections.ServiceLimit, reported []peers.RejectionReport) {
	snapshot := s.directory.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, limit := range limits {
		s.rejections.PeerStated(now, limit.Service, limit.Limit)
	}
	for _, report := range reported {
		server := snapshot.Find(report.Server)
		if server == nil {
			continue
		}
		s.rejections.SetPeerRejections(instance, report.Server, report.Times(now))
		s.refuseExhausted(now, server)
	}
}

// noServerAnswer returns the answer to a request for which no server is usable or has room.
func (s *selector) noServerAnswer(service *route.Service) localAnswer {
	s.mu.Lock()
	limited := s.rejections.HasLimits(service.Name)
	s.mu.Unlock()
	if until, limited := s.untilRate(service.Name); limited {
		return localAnswer{status: 503, code: fault.NoRoom, retryAfter: until}
	}
	answer := localAnswer{status: 503, code: fault.NoServer, retryAfter: s.untilServer(service.Name)}
	if !limited || !slices.ContainsFunc(s.directory.Snapshot().ForService(service.Name), func(server *directory.Server) bool { return !server.Draining }) {
		return answer
	}
	answer.code = fault.NoRoom
	if service.Engine == nil {
		answer.retryAfter = callRoomRetryAfter
	}
	return answer
}

// recordChoice records that a request is about to be sent to a server. The caller holds mu.
func (s *selector) recordChoice(service *route.Service, server string) {
	now := time.Now()
	s.rejections.Chosen(now, server, service.Name)
	s.rates.Sent(now, server, s.rateShareAt(server))
}

// callStarted records that a call is sent to a server that was chosen.
func (s *selector) callStarted(started time.Time, server *directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.CallStarted(started, server.ID)
	s.rejections.Started(server.ID)
}

// generationTokens returns the size of a generation by which a server's room is judged.
func generationTokens(size placement.Generation) int { return max(1, size.MemoryTokens) }
