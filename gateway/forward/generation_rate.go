package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/pace"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
)

// observeGeneration adds a complete generation to its service's rate estimate.
func (s *selector) observeGeneration(service string, generation pace.CompletedGeneration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateEstimator(service).Observe(generation)
}

// minTimeToEnd returns the shortest time in which prompt tokens can be expected to be read and the
// events of a generation after a position to be sent; 0 while there are too few observations.
func (s *selector) minTimeToEnd(service string, promptTokens, outputTokens int, position uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateEstimator(service).MinTimeToEnd(time.Now(), promptTokens, outputTokens, position)
}

// Rates implements peers.Ledger.
func (s *selector) Rates() []peers.ServiceRate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rates []peers.ServiceRate
	for service, estimator := range s.rateEstimators {
		if report := estimator.Report(); report.Usable() {
			rates = append(rates, peers.ServiceRate{Service: service, Report: report})
		}
	}
	return rates
}

// ReportRates implements peers.Ledger.
func (s *selector) ReportRates(instance string, rates []peers.ServiceRate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rate := range rates {
		s.rateEstimator(rate.Service).SetPeerReport(time.Now(), instance, rate.Report)
	}
}

func (s *selector) rateEstimator(service string) *pace.Estimator {
	estimator := s.rateEstimators[service]
	if estimator == nil {
		estimator = &pace.Estimator{}
		s.rateEstimators[service] = estimator
	}
	return estimator
}
