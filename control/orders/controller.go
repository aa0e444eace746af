package orders

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/lease"
	decision "github.com/wisteriahaven/wisteriahaven/decision/orders"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Controller is the control loop of one instance. It is active while the instance holds the
// lease.
type Controller struct {
	options      Options
	lease        *leaseRunner
	observer     *observer
	reconciler   *decision.Reconciler
	heldSince    time.Duration
	holding      bool
	lastPolledAt time.Duration

	mu     sync.Mutex
	status Status
}

// Status is the state of the duty as shown in the dump.
type Status struct {
	Candidate bool   `json:"candidate"`
	Holder    bool   `json:"holder"`
	Fencing   uint64 `json:"fencing,omitempty"`
	Orders    int    `json:"orders"`
	Rejected  int    `json:"rejected"`
}

// New returns a controller. The caller starts it with Run.
func New(options Options) *Controller {
	return &Controller{
		options:    options,
		lease:      newLeaseRunner(options.DataCentre, options.Store, options.Lease),
		observer:   newObserver(options.Engines),
		reconciler: decision.New(options.Orders),
	}
}

// Run runs the control loop until the context ends, and then releases the lease.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(DefaultTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.releaseLease()
			return
		case answer := <-c.lease.answers:
			c.lease.step(ctx, answer)
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

// releaseTimeout bounds the release of the lease when Run ends.
const releaseTimeout = time.Second

// releaseLease releases the lease, so that another instance can acquire it at once.
func (c *Controller) releaseLease() {
	if !c.holding {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	c.lease.step(ctx, lease.Resign{})
	for !c.lease.machine.Resigned() {
		select {
		case <-ctx.Done():
			return
		case answer := <-c.lease.answers:
			c.lease.step(ctx, answer)
		}
	}
}

func (c *Controller) tick(ctx context.Context) {
	candidate := c.holding || c.options.Candidate()
	if candidate {
		c.lease.step(ctx, lease.Tick{})
	}
	fencing, held := c.lease.held()
	c.updateHolding(held, fencing)
	c.updateStatus(func(s *Status) { s.Candidate, s.Holder, s.Fencing = candidate, held, fencing })
	configuration := c.options.Configuration.Current()
	if !held || configuration == nil {
		return
	}
	now := c.lease.now()
	if now-c.lastPolledAt < c.options.PollInterval {
		return
	}
	c.lastPolledAt = now
	c.reconcile(ctx, configuration)
}

// updateHolding logs a change of lease ownership and resets the state of the previous term.
func (c *Controller) updateHolding(held bool, fencing uint64) {
	if held == c.holding {
		return
	}
	c.holding = held
	if held {
		c.heldSince = c.lease.now()
		c.reconciler = decision.New(c.options.Orders)
		event.Log(c.options.Logger, event.OrdersLeaseAcquired).Uint64("fencing", fencing).Send()
		return
	}
	c.observer.reset()
	event.Log(c.options.Logger, event.OrdersLeaseLost).Send()
}

// reconcile polls the engines and sends orders if the lease is still valid after the polls.
func (c *Controller) reconcile(ctx context.Context, configuration *estate.Configuration) {
	engines := enginesOf(configuration, c.options.DataCentre)
	c.observer.observe(ctx, c.lease.now(), engines)
	fencing, held := c.lease.held()
	if !held {
		return
	}
	orders := c.reconciler.Step(c.lease.now(), decision.Input{
		Lease:   decision.Lease{FencingToken: fencing, HeldSince: c.heldSince},
		Servers: c.observer.servers(configuration, engines),
	})
	addresses := make(map[string]string, len(engines))
	for _, server := range engines {
		addresses[server.Name] = server.Address
	}
	for _, order := range orders {
		c.send(ctx, addresses[order.Server], order)
	}
}

// enginesOf returns the model engines of a data centre, spares included.
func enginesOf(configuration *estate.Configuration, dataCentre string) []estate.BackendServer {
	var engines []estate.BackendServer
	for _, server := range configuration.BackendServers {
		if server.DataCentre == dataCentre && (server.Spare || server.Model != "") {
			engines = append(engines, server)
		}
	}
	return engines
}

// send records the reason of one order, sends the order and records the error, if any. The reason
// is recorded first: the engine may take the order long before its answer arrives here.
func (c *Controller) send(ctx context.Context, address string, order decision.Order) {
	reason := fmt.Sprintf("%s %s %s: %s", order.Kind, order.Desired.Model, order.Desired.Version, order.Reason)
	c.record(order.Server, reason)
	_, err := c.options.Engines.Order(ctx, address, engineapi.Order{
		ID:           fmt.Sprintf("%s-%d-%s", c.options.Instance, order.FencingToken, order.Server),
		Kind:         order.Kind,
		Model:        order.Desired.Model,
		Version:      order.Desired.Version,
		FencingToken: order.FencingToken,
	})
	if err != nil {
		reason += "; failed: " + err.Error()
		c.record(order.Server, reason)
	}
	c.updateStatus(func(s *Status) {
		s.Orders++
		if fault.HasCode(err, fault.FencingRejected) {
			s.Rejected++
		}
	})
	event.Log(c.options.Logger, event.OrderGiven).Str("server", order.Server).Str("reason", reason).Send()
}

// record records a decision about a server for explain commands.
func (c *Controller) record(server, reason string) {
	c.options.Recorder.Record(serving.Decision{Subject: server, Kind: "order", Server: server, Reason: reason})
}

func (c *Controller) updateStatus(change func(*Status)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.status)
}

// Status returns the current state.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}
