package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// balance returns the decision about requests of a service that leave the data centre. The caller holds mu.
func (s *selector) balance(service *route.Service) *overflow.Balance {
	balance := s.balances[service.Name]
	if balance == nil {
		policy := overflow.CallPolicy()
		if service.Engine != nil {
			policy = overflow.StreamPolicy()
		}
		balance = overflow.NewBalance(policy, s.place.DataCentre, s.place.Region)
		s.balances[service.Name] = balance
	}
	return balance
}

// decideLeaving completes candidates by where a request with a key is to go, and finds the share that leaves anew when it
// is time. generation is nil for calls. The caller holds mu.
func (s *selector) decideLeaving(service *route.Service, key string, generation *placement.Generation, candidates []placement.Candidate) {
	balance, now := s.balance(service), time.Now()
	if balance.Due(now) {
		s.updateLeaving(now, service.Name, balance, s.ledger.CentreLoads(now, generation, candidates))
	}
	decided := balance.Share() > 0
	target, leaves := balance.Target(key)
	for i := range candidates {
		candidate := &candidates[i]
		centre := candidate.Place.DataCentre
		if centre != s.place.DataCentre {
			candidate.CentreWait = balance.WaitAt(now, centre)
		}
		switch {
		case !decided:
		case leaves && centre == target:
			candidate.Detour = placement.DetourDecided
		case leaves || centre != s.place.DataCentre:
			candidate.Detour = placement.DetourAgainst
		}
	}
}

// updateLeaving finds the share of a service's requests that leaves anew, and keeps what peers are told.
func (s *selector) updateLeaving(now time.Time, service string, balance *overflow.Balance, loads []placement.CentreLoad) {
	home := overflow.Centre{DataCentre: s.place.DataCentre, Region: s.place.Region}
	var others []overflow.Centre
	for _, load := range loads {
		centre := overflow.Centre{DataCentre: load.Place.DataCentre, Region: load.Place.Region, Servers: load.Servers, Wait: load.Wait, Capacity: load.Capacity}
		if load.Place == s.place {
			home = centre
			continue
		}
		others = append(others, centre)
	}
	changed := balance.Update(now, home, others)
	s.statements[service] = overflow.Statement{Service: service, Servers: home.Servers, Wait: home.Wait, Capacity: home.Capacity, Share: balance.Own()}
	if changed {
		event.Log(s.logger, event.LeavingShareChanged).Str("service", service).Int("percent", balance.Share()).Int("own_percent", balance.Own()).
			Int("servers", home.Servers).Dur("wait_ms", home.Wait).Send()
	}
}

// CentreStatements implements peers.Ledger.
func (s *selector) CentreStatements() []overflow.Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	statements := make([]overflow.Statement, 0, len(s.statements))
	for _, statement := range s.statements {
		statements = append(statements, statement)
	}
	return statements
}

// ReportCentre implements peers.Ledger.
func (s *selector) ReportCentre(instance, dataCentre string, statements []overflow.Statement) (invalid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, statement := range statements {
		balance := s.balances[statement.Service]
		// Without a request of the service here there is nothing to decide.
		if balance != nil && !balance.Stated(time.Now(), instance, dataCentre, statement) {
			invalid++
		}
	}
	return invalid
}

// refreshLeaving finds the shares anew for services without a request in the last period, and updates the gauge of the
// largest share.
func (f *Forwarder) refreshLeaving() {
	current := f.state.Current()
	if current == nil {
		return
	}
	s := f.selector
	now, largest := time.Now(), 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, balance := range s.balances {
		service := current.Table.Service(name)
		if service == nil {
			delete(s.balances, name)
			delete(s.statements, name)
			continue
		}
		if balance.Due(now) {
			s.updateLeaving(now, name, balance, s.ledger.CentreLoads(now, typicalGeneration(service), s.candidates(service, s.ready(service, versionBinding{}), func(string) bool { return false })))
		}
		largest = max(largest, balance.Share())
	}
	f.meters.set("requests.leaving_percent", int64(largest))
}

// typicalGeneration returns a generation of the assumed size, nil for a service of calls.
func typicalGeneration(service *route.Service) *placement.Generation {
	if service.Engine == nil {
		return nil
	}
	return &placement.Generation{PromptTokens: defaultPromptTokens, MemoryTokens: defaultPromptTokens + defaultOutputTokens}
}

var _ peers.Ledger = (*selector)(nil)
