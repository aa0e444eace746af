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

// minTimeToEnd returns the shortest time in which the events of a generation after
// a position can be expected; 0 while there are too few observations.
func (s *selector) minTimeToEnd(service string, outputTokens int, position uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateEstimator(service).MinRemainingTime(time.Now(), outputTokens, position)
}

// minReadTime returns the shortest time in which an engine can be expected to read prompt tokens;
// 0 while there are too few observations.
func (s *selector) minReadTime(service string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateEstimator(service).MinReadTime(time.Now(), tokens)
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
