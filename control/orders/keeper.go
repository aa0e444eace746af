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

// Keeper is the control loop of one instance. It is active while the instance holds the lease.
type Keeper struct {
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

// New returns a keeper. The caller starts it with Run.
func New(options Options) *Keeper {
	return &Keeper{
		options:    options,
		lease:      newLeaseRunner(options.DataCentre, options.Store, options.Lease),
		observer:   newObserver(options.Engines),
		reconciler: decision.New(options.Orders),
	}
}

// Run runs the control loop until the context ends, and then releases the lease.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(DefaultTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.releaseLease()
			return
		case answer := <-k.lease.answers:
			k.lease.step(ctx, answer)
		case <-ticker.C:
			k.tick(ctx)
		}
	}
}

// releaseTimeout bounds the release of the lease when Run ends.
const releaseTimeout = time.Second

// releaseLease releases the lease, so that another instance can acquire it at once.
func (k *Keeper) releaseLease() {
	if !k.holding {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	k.lease.step(ctx, lease.Resign{})
	for !k.lease.machine.Resigned() {
		select {
		case <-ctx.Done():
			return
		case answer := <-k.lease.answers:
			k.lease.step(ctx, answer)
		}
	}
}

func (k *Keeper) tick(ctx context.Context) {
	candidate := k.holding || k.options.Candidate()
	if candidate {
		k.lease.step(ctx, lease.Tick{})
	}
	fencing, held := k.lease.held()
	k.updateHolding(held, fencing)
	k.updateStatus(func(s *Status) { s.Candidate, s.Holder, s.Fencing = candidate, held, fencing })
	configuration := k.options.Configuration.Current()
	if !held || configuration == nil {
		return
	}
	now := k.lease.now()
	if now-k.lastPolledAt < k.options.Observe {
		return
	}
	k.lastPolledAt = now
	k.reconcile(ctx, configuration)
}

// updateHolding logs a change of lease ownership and resets the state of the previous term.
func (k *Keeper) updateHolding(held bool, fencing uint64) {
	if held == k.holding {
		return
	}
	k.holding = held
	if held {
		k.heldSince = k.lease.now()
		k.reconciler = decision.New(k.options.Orders)
		event.Log(k.options.Logger, event.OrdersLeaseAcquired).Uint64("fencing", fencing).Send()
		return
	}
	k.observer.reset()
	event.Log(k.options.Logger, event.OrdersLeaseLost).Send()
}

// reconcile polls the engines and sends orders if the lease is still valid after the polls.
func (k *Keeper) reconcile(ctx context.Context, configuration *estate.Configuration) {
	engines := enginesOf(configuration, k.options.DataCentre)
	k.observer.observe(ctx, k.lease.now(), engines)
	fencing, held := k.lease.held()
	if !held {
		return
	}
	orders := k.reconciler.Step(k.lease.now(), decision.Input{
		Lease:   decision.Lease{Fencing: fencing, HeldSince: k.heldSince},
		Servers: k.observer.servers(configuration, engines),
	})
	addresses := make(map[string]string, len(engines))
	for _, server := range engines {
		addresses[server.Name] = server.Address
	}
	for _, order := range orders {
		k.send(ctx, addresses[order.Server], order)
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

// send sends one order and records it with its reason and the error, if any.
func (k *Keeper) send(ctx context.Context, address string, order decision.Order) {
	_, err := k.options.Engines.Order(ctx, address, engineapi.Order{
		ID:      fmt.Sprintf("%s-%d-%s", k.options.Instance, order.Fencing, order.Server),
		Kind:    order.Kind,
		Model:   order.Wish.Model,
		Version: order.Wish.Version,
		Fencing: order.Fencing,
	})
	reason := fmt.Sprintf("%s %s %s: %s", order.Kind, order.Wish.Model, order.Wish.Version, order.Reason)
	if err != nil {
		reason += "; failed: " + err.Error()
	}
	k.options.Recorder.Record(serving.Decision{Subject: order.Server, Kind: "order", Server: order.Server, Reason: reason})
	k.updateStatus(func(s *Status) {
		s.Orders++
		if fault.HasCode(err, fault.FencingRejected) {
			s.Rejected++
		}
	})
	event.Log(k.options.Logger, event.OrderGiven).Str("server", order.Server).Str("reason", reason).Send()
}

func (k *Keeper) updateStatus(change func(*Status)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.status)
}

// Status returns the current state.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}
