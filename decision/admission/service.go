package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
)

// Weights of the moving mean of run times.
const (
	meanShare   = 8
	initialMean = time.Second
)

// service is one service's room and queue.
type service struct {
	queue    *fairqueue.Queue
	capacity int
	running  int
	// mean is the moving mean of run times.
	mean time.Duration
}

// full reports whether no further request may run.
func (s *service) full() bool { return s.running >= s.capacity }

// ran takes a run time into the mean.
func (s *service) ran(duration time.Duration) {
	s.mean += (duration - s.mean) / meanShare
}

// wait returns the expected wait of the next request of an account: it is
// served in turn with the other accounts that wait.
func (s *service) wait(account string, weight int) time.Duration {
	weight = max(1, weight)
	own := s.queue.Waiting(account) + 1
	weights := s.queue.ActiveWeight()
	if own == 1 {
		weights += weight
	}
	ahead := min(s.queue.Len()+1, (own*weights+weight-1)/weight)
	return time.Duration(ahead) * s.mean / time.Duration(max(1, s.capacity))
}
