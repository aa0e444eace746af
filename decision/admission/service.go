package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
)

// Parameters of the moving mean of run times: the latest run time counts one in
// meanDivisor; initialRunTime applies before the first.
const (
	meanDivisor    = 8
	initialRunTime = time.Second
)

// service holds the capacity, the queue and the running requests of one service.
type service struct {
	queue    *fairqueue.Queue
	capacity int
	running  int
	// meanRunTime is the moving mean of run times.
	meanRunTime time.Duration
}

// full reports whether no more requests may run.
func (s *service) full() bool { return s.running >= s.capacity }

// addRunTime adds a run time to the mean.
func (s *service) addRunTime(duration time.Duration) {
	s.meanRunTime += (duration - s.meanRunTime) / meanDivisor
}

// expectedWait returns the expected wait of the next request of an account. The queue
// serves the account by its weight in turn with the other waiting accounts.
func (s *service) expectedWait(account string, weight int) time.Duration {
	weight = max(1, weight)
	own := s.queue.Waiting(account) + 1
	weights := s.queue.ActiveWeight()
	if own == 1 {
		weights += weight
	}
	ahead := min(s.queue.Len()+1, (own*weights+weight-1)/weight)
	return time.Duration(ahead) * s.meanRunTime / time.Duration(max(1, s.capacity))
}
