package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/pace"
)

// learnPace adds a complete generation to the rate estimate of its service.
func (s *selector) learnPace(service string, generation pace.Generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace(service).Observe(generation)
}

// leastTime returns the shortest time in which the events of a generation after
// a position can be expected; 0 while there are too few observations.
func (s *selector) leastTime(service string, outputTokens int, position uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace(service).Least(outputTokens, position)
}

func (s *selector) pace(service string) *pace.Estimator {
	estimator := s.paces[service]
	if estimator == nil {
		estimator = &pace.Estimator{}
		s.paces[service] = estimator
	}
	return estimator
}
