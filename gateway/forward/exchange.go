package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
)

// Ledger returns what other instances are told and tell about servers.
func (f *Forwarder) Ledger() peers.Ledger { return f.selector }

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
	stated := make(map[string]placement.Load, len(loads))
	for _, load := range loads {
		stated[load.Server] = load.Load
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetPeerLoads(time.Now(), instance, stated)
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

// UsagesElsewhere implements peers.Ledger.
func (s *selector) ReportUsages(instance string, usages []peers.ServiceUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stated := range usages {
		if s.usages[stated.Service] == nil {
			s.usages[stated.Service] = make(map[string]statedUsage)
		}
		s.usages[stated.Service][instance] = statedUsage{usage: stated.Usage, at: time.Now()}
	}
}

// LostElsewhere implements peers.Ledger.
func (s *selector) ReportFailure(lost peers.FailedServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.UnreachableAtPeer(time.Now().Add(-lost.Age), lost.Server, lost.DataCentre, lost.Down)
}

// Expire implements peers.Ledger.
func (s *selector) Expire(lifetime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.ExpirePeerLoads(time.Now(), lifetime)
}
