package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/pace"
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
	return s.rateEstimator(service).MinRemainingTime(outputTokens, position)
}

func (s *selector) rateEstimator(service string) *pace.Estimator {
	estimator := s.rateEstimators[service]
	if estimator == nil {
		estimator = &pace.Estimator{}
		s.rateEstimators[service] = estimator
	}
	return estimator
}
