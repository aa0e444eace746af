package admission

import (
	"maps"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
)

// ServiceState is the state of one service for the dump.
type ServiceState struct {
	Service  string `json:"service"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Capacity int    `json:"capacity"`
}

// Services returns the state of every service in the order of the names.
func (c *Controller) Services() []ServiceState {
	states := make([]ServiceState, 0, len(c.services))
	for _, name := range c.serviceNames() {
		s := c.services[name]
		states = append(states, ServiceState{name, s.running, s.queue.Len(), s.capacity})
	}
	return states
}

func (c *Controller) serviceNames() []string { return slices.Sorted(maps.Keys(c.services)) }

func (c *Controller) account(name string) *account {
	a, ok := c.accounts[name]
	if !ok {
		a = &account{}
		c.accounts[name] = a
	}
	return a
}

func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{queue: fairqueue.New(c.config.MaxQueued), capacity: 1, mean: initialMean}
		c.services[name] = s
	}
	return s
}
