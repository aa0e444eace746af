package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/pace"
)

// learnPace adds a generation to what is known of its service.
func (s *selector) learnPace(service string, generation pace.CompletedGeneration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace(service).Observe(generation)
}

// leastTime returns the shortest time in which the events of a generation after
// a position can be expected; 0 when too little is known.
func (s *selector) leastTime(service string, outputTokens int, position uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace(service).MinRemainingTime(outputTokens, position)
}

func (s *selector) pace(service string) *pace.Estimator {
	estimator := s.paces[service]
	if estimator == nil {
		estimator = &pace.Estimator{}
		s.paces[service] = estimator
	}
	return estimator
}
