package routing

import (
	"math"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Capacities returns, for every service, how many requests this instance may
// have in flight at the backend servers at a time. That is the larger of its
// equal part of all slots, and its own requests in flight plus its equal part
// of the free slots.
func (r *Router) Capacities() []serving.Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refresh() {
		return nil
	}
	now := r.now()
	totals := make(map[string]*slotTotals)
	for i, declared := range r.snapshot.Servers {
		state := stateSource{r, now}.State(i)
		if totals[declared.Service] == nil {
			totals[declared.Service] = &slotTotals{}
		}
		totals[declared.Service].add(state.Capacity, float64(state.Requests), float64(r.byIndex[i].tracker.InFlight()), !declared.Drained && !state.Draining && !state.BreakerOpen)
	}
	capacities := make([]serving.Capacity, 0, len(r.current.Services))
	for _, service := range r.current.Services {
		if total := totals[service.Name]; total != nil {
			capacities = append(capacities, serving.Capacity{Service: service.Name, Requests: total.requestsPerInstance(r.instances)})
		}
	}
	return capacities
}

// slotTotals sums a service's slots and this instance's requests in flight.
type slotTotals struct {
	total, free, inFlight float64
}

// add counts a server. An unusable one adds only the requests that it runs.
func (s *slotTotals) add(capacity, held, inFlight float64, usable bool) {
	s.inFlight += inFlight
	if usable {
		s.total += capacity
		s.free += max(0, capacity-held)
	}
}

func (s *slotTotals) requestsPerInstance(instances int) int {
	count := float64(instances)
	return int(math.Ceil(max(s.total/count, s.inFlight+s.free/count)))
}
