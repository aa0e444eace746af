package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
)

// Parameters of the moving mean of run times: the latest run time counts one in
// meanShare; initialMean applies before the first.
const (
	meanShare   = 8
	initialMean = time.Second
)

// service holds the capacity, the queue and the running requests of one service.
type service struct {
	queue    *fairqueue.Queue
	capacity int
	running  int
	// mean is the moving mean of run times.
	mean time.Duration
}

// full reports whether no more requests may run.
func (s *service) full() bool { return s.running >= s.capacity }

// ran adds a run time to the mean.
func (s *service) ran(duration time.Duration) {
	s.mean += (duration - s.mean) / meanShare
}

// wait returns the expected wait of the next request of an account. The queue
// serves the account by its weight in turn with the other waiting accounts.
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
