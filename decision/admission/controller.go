package admission

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// runMargin is how many mean run times must be left before the deadline for a
// request to wait: one that is cut in mid-run took room for nothing.
const runMargin = 2

// Controller is the admission of one instance.
type Controller struct {
	config   Config
	random   *rand.Rand
	accounts map[string]*account
	services map[string]*service
	entries  map[string]*entry
}

// New returns a controller without requests. The random source spreads the
// times at which refused clients come back.
func New(config Config, random *rand.Rand) *Controller {
	return &Controller{
		config: config, random: random,
		accounts: make(map[string]*account),
		services: make(map[string]*service),
		entries:  make(map[string]*entry),
	}
}

// Arrive takes a new request. The outputs name every request whose state
// changed; the new one is not among them while it waits.
func (c *Controller) Arrive(now time.Duration, arrival Arrival) []Output {
	a := c.account(arrival.Account.Name)
	a.limits = share.LimitsOf(arrival.Account.Limits)
	a.use(arrival.Tokens)
	if refusal := c.limitOf(now, a, arrival); refusal != nil && !arrival.Resumed {
		return []Output{{arrival.ID, refusal}}
	}
	s := c.service(arrival.Service)
	if s.full() || s.queue.Len() > 0 {
		return c.enqueue(now, a, s, arrival)
	}
	c.hold(a, arrival)
	c.run(now, s, c.entries[arrival.ID])
	return []Output{{ID: arrival.ID}}
}

// Tokens counts delivered tokens against the account's rate.
func (c *Controller) AddTokens(now time.Duration, id string, count int) {
	running, ok := c.entries[id]
	if !ok {
		return
	}
	a := c.account(running.arrival.Account.Name)
	a.present[share.TokensPerSecond] += count
	if a.limits[share.TokensPerSecond] > 0 {
		a.tokenRate.fill(now, float64(a.shares[share.TokensPerSecond]), c.config.BurstWindow)
		a.tokenRate.level -= float64(count)
	}
}

// Release ends a request that runs or waits. It returns what starts instead.
func (c *Controller) Release(now time.Duration, id string) []Output {
	ended, ok := c.entries[id]
	if !ok {
		return nil
	}
	s := c.service(ended.arrival.Service)
	if ended.running {
		s.running--
		s.ran(now - ended.started)
	} else {
		s.queue.Remove(ended.arrival.Account.Name, id)
	}
	c.forget(ended)
	return c.start(now, s, nil)
}

// SetCapacity sets how many requests of a service may run. It returns what
// starts.
func (c *Controller) SetCapacity(now time.Duration, name string, capacity int) []Output {
	s := c.service(name)
	s.capacity = max(1, capacity)
	return c.start(now, s, nil)
}

// SetShares sets an account's shares of its limits.
func (c *Controller) SetShares(name string, limits, shares share.Amounts) {
	a := c.account(name)
	a.limits, a.shares = limits, shares
}

// Demand closes an exchange period and returns what the account wanted.
func (c *Controller) Demand(name string, period time.Duration) share.Amounts {
	return c.account(name).roll(period)
}

// Expire refuses the waiting requests whose deadline passed.
func (c *Controller) Expire(now time.Duration) []Output {
	var outputs []Output
	for _, name := range c.serviceNames() {
		s := c.services[name]
		for _, item := range s.queue.Expire(now) {
			c.forget(c.entries[item.ID])
			refusal := fault.New(fault.DeadlinePassed, "the request waited until its deadline").
				WithExecution(fault.ExecutionNotRun).WithRetryAfter(c.retryAfter(s.mean))
			outputs = append(outputs, Output{item.ID, refusal})
		}
	}
	return outputs
}

// enqueue lets a request wait, or refuses it when it would wait too long.
func (c *Controller) enqueue(now time.Duration, a *account, s *service, arrival Arrival) []Output {
	wait := s.wait(arrival.Account.Name, arrival.Account.Weight)
	if now+wait+runMargin*s.mean > arrival.Deadline || wait > c.maxWait(s) {
		return []Output{{arrival.ID, c.overloaded(wait)}}
	}
	c.hold(a, arrival)
	dropped, full := s.queue.Push(fairqueue.Item{
		ID: arrival.ID, Account: arrival.Account.Name, Weight: arrival.Account.Weight,
		Cost: 1, Priority: arrival.Priority, Deadline: arrival.Deadline,
	})
	if !full {
		return nil
	}
	c.forget(c.entries[dropped.ID])
	return []Output{{dropped.ID, c.overloaded(wait)}}
}

// maxWait returns the longest expected wait before load is shed. A queue of one
// mean run time keeps every slot busy; a longer one only makes requests late.
func (c *Controller) maxWait(s *service) time.Duration {
	return min(c.config.MaxWait, max(c.config.MinWait, s.mean))
}

// start runs waiting requests while there is room.
func (c *Controller) start(now time.Duration, s *service, outputs []Output) []Output {
	for !s.full() {
		item, ok := s.queue.Pop()
		if !ok {
			return outputs
		}
		next := c.entries[item.ID]
		if item.Deadline <= now+s.mean {
			c.forget(next)
			outputs = append(outputs, Output{item.ID, c.overloaded(s.mean)})
			continue
		}
		c.run(now, s, next)
		outputs = append(outputs, Output{ID: item.ID})
	}
	return outputs
}

// hold counts a request against its account. The request rate is charged
// here, once for each request that isn't refused.
func (c *Controller) hold(a *account, arrival Arrival) {
	a.requests++
	a.tokens += arrival.Tokens
	if a.limits[share.RequestsPerSecond] > 0 {
		a.requestRate.level--
	}
	c.entries[arrival.ID] = &entry{arrival: arrival}
}

func (c *Controller) run(now time.Duration, s *service, next *entry) {
	next.running, next.started = true, now
	s.running++
}

func (c *Controller) forget(ended *entry) {
	a := c.account(ended.arrival.Account.Name)
	a.requests--
	a.tokens -= ended.arrival.Tokens
	delete(c.entries, ended.arrival.ID)
}

func (c *Controller) overloaded(wait time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, "the expected wait is "+wait.Round(time.Millisecond).String()).
		WithExecution(fault.ExecutionNotRun).WithRetryAfter(c.retryAfter(wait))
}

// retryAfter returns a wait within the bounds with a jitter of one half more.
func (c *Controller) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, c.config.MinRetryAfter), c.config.MaxRetryAfter)
	return wait + time.Duration(c.random.Int64N(int64(wait)/2+1))
}
