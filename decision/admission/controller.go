package admission

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// runMargin is the number of mean run times that must remain between the expected
// start and the deadline for a request to be queued: a request that is cancelled
// while it runs has used capacity without a result.
const runMargin = 2

// Controller is the admission of one instance. It is not safe for concurrent use.
type Controller struct {
	config   Config
	random   *rand.Rand
	accounts map[string]*account
	services map[string]*service
	entries  map[string]*entry
}

// New returns a controller without requests. The random source provides the jitter
// of the retry times of refused clients.
func New(config Config, random *rand.Rand) *Controller {
	return &Controller{
		config: config, random: random,
		accounts: make(map[string]*account),
		services: make(map[string]*service),
		entries:  make(map[string]*entry),
	}
}

// Arrive decides on a new request. The outputs hold every request that starts or
// is refused; the new one is not among them while it waits.
func (c *Controller) Arrive(now time.Duration, arrival Arrival) []Output {
	a := c.account(arrival.Account.Name)
	a.limits = share.LimitsOf(arrival.Account.Limits)
	a.addDemand(arrival.Tokens)
	if refusal := c.checkLimits(now, a, arrival); refusal != nil && !arrival.Resumed {
		return []Output{{arrival.ID, refusal}}
	}
	s := c.service(arrival.Service)
	if s.full() || s.queue.Len() > 0 {
		return c.enqueue(now, a, s, arrival)
	}
	c.addEntry(a, arrival)
	c.run(now, s, c.entries[arrival.ID])
	return []Output{{ID: arrival.ID}}
}

// AddTokens charges delivered tokens of a request to the token rate of its account.
func (c *Controller) AddTokens(now time.Duration, id string, count int) {
	running, ok := c.entries[id]
	if !ok {
		return
	}
	a := c.account(running.arrival.Account.Name)
	a.current[share.TokensPerSecond] += count
	if a.limits[share.TokensPerSecond] > 0 {
		a.tokenRate.fill(now, float64(a.shares[share.TokensPerSecond]), c.config.BurstWindow)
		a.tokenRate.level -= float64(count)
	}
}

// Release ends a running or waiting request. It returns the waiting requests that
// start or are refused in consequence.
func (c *Controller) Release(now time.Duration, id string) []Output {
	ended, ok := c.entries[id]
	if !ok {
		return nil
	}
	s := c.service(ended.arrival.Service)
	if ended.running {
		s.running--
		s.addRunTime(now - ended.started)
	} else {
		s.queue.Remove(ended.arrival.Account.Name, id)
	}
	c.removeEntry(ended)
	return c.startWaiting(now, s, nil)
}

// SetCapacity sets the number of requests of a service that may run at once. It
// returns the waiting requests that start or are refused in consequence.
func (c *Controller) SetCapacity(now time.Duration, name string, capacity int) []Output {
	s := c.service(name)
	s.capacity = max(1, capacity)
	return c.startWaiting(now, s, nil)
}

// SetShares sets an account's limits and this instance's shares of them.
func (c *Controller) SetShares(name string, limits, shares share.Amounts) {
	a := c.account(name)
	a.limits, a.shares = limits, shares
}

// Demand ends an exchange period and returns the account's demand.
func (c *Controller) Demand(name string, period time.Duration) share.Amounts {
	return c.account(name).endPeriod(period)
}

// Expire refuses the waiting requests whose deadline has passed.
func (c *Controller) Expire(now time.Duration) []Output {
	var outputs []Output
	for _, name := range c.serviceNames() {
		s := c.services[name]
		for _, item := range s.queue.Expire(now) {
			c.removeEntry(c.entries[item.ID])
			refusal := fault.New(fault.DeadlinePassed, "the request waited until its deadline").
				WithExecution(fault.ExecutionNotRun).WithRetryAfter(c.retryAfter(s.meanRunTime))
			outputs = append(outputs, Output{item.ID, refusal})
		}
	}
	return outputs
}

// enqueue queues a request, or refuses it when its expected wait is too long. A
// full queue drops one of its requests, which is refused.
func (c *Controller) enqueue(now time.Duration, a *account, s *service, arrival Arrival) []Output {
	wait := s.expectedWait(arrival.Account.Name, arrival.Account.Weight)
	if now+wait+runMargin*s.meanRunTime > arrival.Deadline || wait > c.maxWait(s) {
		return []Output{{arrival.ID, c.overloaded(wait)}}
	}
	c.addEntry(a, arrival)
	dropped, full := s.queue.Push(fairqueue.Item{
		ID: arrival.ID, Account: arrival.Account.Name, Weight: arrival.Account.Weight,
		Cost: 1, Priority: arrival.Priority, Deadline: arrival.Deadline,
	})
	if !full {
		return nil
	}
	c.removeEntry(c.entries[dropped.ID])
	return []Output{{dropped.ID, c.overloaded(wait)}}
}

// maxWait returns the longest expected wait at which requests are still queued. A
// queue of one mean run time keeps every slot busy; a longer one only adds latency.
func (c *Controller) maxWait(s *service) time.Duration {
	return min(c.config.MaxWait, max(c.config.MinWait, s.meanRunTime))
}

// startWaiting runs waiting requests while the service has capacity, and refuses those
// that can't end before their deadline.
func (c *Controller) startWaiting(now time.Duration, s *service, outputs []Output) []Output {
	for !s.full() {
		item, ok := s.queue.Pop()
		if !ok {
			return outputs
		}
		next := c.entries[item.ID]
		if item.Deadline <= now+s.meanRunTime {
			c.removeEntry(next)
			outputs = append(outputs, Output{item.ID, c.overloaded(s.meanRunTime)})
			continue
		}
		c.run(now, s, next)
		outputs = append(outputs, Output{ID: item.ID})
	}
	return outputs
}

// addEntry adds the entry of a request and counts it against its account. The request
// rate is charged here, once for each request that isn't refused.
func (c *Controller) addEntry(a *account, arrival Arrival) {
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

func (c *Controller) removeEntry(ended *entry) {
	a := c.account(ended.arrival.Account.Name)
	a.requests--
	a.tokens -= ended.arrival.Tokens
	delete(c.entries, ended.arrival.ID)
}

func (c *Controller) overloaded(wait time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, "the expected wait is "+wait.Round(time.Millisecond).String()).
		WithExecution(fault.ExecutionNotRun).WithRetryAfter(c.retryAfter(wait))
}

// retryAfter returns the retry time for an expected wait: the wait within the
// bounds, plus a jitter of up to one half of it.
func (c *Controller) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, c.config.MinRetryAfter), c.config.MaxRetryAfter)
	return wait + time.Duration(c.random.Int64N(int64(wait)/2+1))
}
