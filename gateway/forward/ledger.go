package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
)

// Ledger returns the state of servers and budgets that is exchanged with peers.
func (f *Forwarder) Ledger() peers.Ledger { return f.selector }

// StreamVersions returns the records of streams that are exchanged with peers.
func (f *Forwarder) StreamVersions() peers.StreamVersions { return f.versions }

// Poison returns the table of requests that crash servers, whose news are exchanged with peers.
func (f *Forwarder) Poison() peers.PoisonTable { return f.poison }

// Loads implements peers.Ledger.
func (s *selector) Loads() []peers.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads []peers.ServerLoad
	s.ledger.Loads(func(id string, load placement.Load) {
		loads = append(loads, peers.ServerLoad{Server: id, Load: load})
	})
	return loads
}

// Report implements peers.Ledger.
func (s *selector) Report(instance string, loads []peers.ServerLoad) {
	byServer := make(map[string]placement.Load, len(loads))
	for _, load := range loads {
		byServer[load.Server] = load.Load
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetPeerLoads(time.Now(), instance, byServer)
}

// Usages implements peers.Ledger.
func (s *selector) Usages() []peers.ServiceUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usages := make([]peers.ServiceUsage, 0, len(s.budgets))
	for service, budget := range s.budgets {
		usages = append(usages, peers.ServiceUsage{Service: service, Usage: budget.Usage(time.Since(s.started))})
	}
	return usages
}

// ReportUsages implements peers.Ledger.
func (s *selector) ReportUsages(instance string, usages []peers.ServiceUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reported := range usages {
		if s.usages[reported.Service] == nil {
			s.usages[reported.Service] = make(map[string]reportedUsage)
		}
		s.usages[reported.Service][instance] = reportedUsage{usage: reported.Usage, receivedAt: time.Now()}
	}
}

// ReportFailure implements peers.Ledger.
func (s *selector) ReportFailure(lost peers.FailedServer) {
	s.withLedger(func(ledger *placement.Ledger, now time.Time) {
		ledger.UnreachableAtPeer(now.Add(-lost.Age), lost.Server, lost.DataCentre, lost.Down)
	})
	s.onPeerFailure(lost.Server, lost.Age)
}

// Expire implements peers.Ledger.
func (s *selector) Expire(lifetime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.ExpirePeerLoads(time.Now(), lifetime)
}
