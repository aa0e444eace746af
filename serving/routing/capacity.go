package routing

import (
	"math"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Capacities returns, for every service, how many requests this instance may
// have at the backend servers at a time: its equal part of all slots, or its
// own requests in flight and its part of the free slots when that is more.
func (r *Router) Capacities() []serving.Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refresh() {
		return nil
	}
	now := r.now()
	totals := make(map[string]*slots)
	for i, declared := range r.snapshot.Servers {
		state := states{r, now}.State(i)
		if totals[declared.Service] == nil {
			totals[declared.Service] = &slots{}
		}
		totals[declared.Service].add(state.Capacity, float64(state.Requests), float64(r.byIndex[i].tracker.InFlight()), !declared.Drained && !state.Draining && !state.BreakerOpen)
	}
	capacities := make([]serving.Capacity, 0, len(r.current.Services))
	for _, service := range r.current.Services {
		if total := totals[service.Name]; total != nil {
			capacities = append(capacities, serving.Capacity{Service: service.Name, Requests: total.part(r.instances)})
		}
	}
	return capacities
}

// slots sums the room of a service's servers.
type slots struct {
	all, free, own float64
}

func (s *slots) add(capacity, held, own float64, usable bool) {
	s.own += own
	if usable {
		s.all += capacity
		s.free += max(0, capacity-held)
	}
}

func (s *slots) part(instances int) int {
	part := float64(instances)
	return int(math.Ceil(max(s.all/part, s.own+s.free/part)))
}
