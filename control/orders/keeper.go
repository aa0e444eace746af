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

// Keeper is the orders duty of one instance.
type Controller struct {
	options    Options
	lease      *leaseKeeper
	observer   *observer
	reconciler *decision.Reconciler
	heldSince  time.Duration
	holding    bool
	observedAt time.Duration

	mu     sync.Mutex
	status Status
}

// Status is the duty's state for the dump.
type Status struct {
	Candidate bool   `json:"candidate"`
	Holder    bool   `json:"holder"`
	Fencing   uint64 `json:"fencing,omitempty"`
	Orders    int    `json:"orders"`
	Rejected  int    `json:"rejected"`
}

// New returns a keeper that does not run yet.
func New(options Options) *Controller {
	return &Controller{
		options:    options,
		lease:      newLeaseKeeper(options.DataCentre, options.Store, options.Lease),
		observer:   newObserver(options.Engines),
		reconciler: decision.New(options.Orders),
	}
}

// Run works until the context ends and then gives the lease back.
func (k *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(DefaultTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.resign()
			return
		case answer := <-k.lease.answers:
			k.lease.step(ctx, answer)
		case <-ticker.C:
			k.tick(ctx)
		}
	}
}

// resignTimeout bounds the last call to the platform.
const resignTimeout = time.Second

// resign releases the lease, so that another instance takes it at once.
func (k *Controller) resign() {
	if !k.holding {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
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

func (k *Controller) tick(ctx context.Context) {
	candidate := k.holding || k.options.Candidate()
	if candidate {
		k.lease.step(ctx, lease.Tick{})
	}
	fencing, held := k.lease.held()
	k.noteHolding(held, fencing)
	k.update(func(s *Status) { s.Candidate, s.Holder, s.Fencing = candidate, held, fencing })
	configuration := k.options.Configuration.Current()
	if !held || configuration == nil {
		return
	}
	now := k.lease.now()
	if now-k.observedAt < k.options.PollInterval {
		return
	}
	k.observedAt = now
	k.reconcile(ctx, configuration)
}

// noteHolding follows the gain and the loss of the lease.
func (k *Controller) noteHolding(held bool, fencing uint64) {
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
	k.observer.forget()
	event.Log(k.options.Logger, event.OrdersLeaseLost).Send()
}

// reconcile observes the engines and gives orders while the lease is valid.
func (k *Controller) reconcile(ctx context.Context, configuration *estate.Configuration) {
	engines := enginesOf(configuration, k.options.DataCentre)
	k.observer.observe(ctx, k.lease.now(), engines)
	fencing, held := k.lease.held()
	if !held {
		return
	}
	given := k.reconciler.Step(k.lease.now(), decision.Input{
		Lease:   decision.Lease{FencingToken: fencing, HeldSince: k.heldSince},
		Servers: k.observer.servers(configuration, engines),
	})
	addresses := make(map[string]string, len(engines))
	for _, server := range engines {
		addresses[server.Name] = server.Address
	}
	for _, order := range given {
		k.give(ctx, addresses[order.Server], order)
	}
}

// enginesOf returns the model engines of a data centre.
func enginesOf(configuration *estate.Configuration, dataCentre string) []estate.BackendServer {
	var engines []estate.BackendServer
	for _, server := range configuration.BackendServers {
		if server.DataCentre == dataCentre && (server.Spare || server.Model != "") {
			engines = append(engines, server)
		}
	}
	return engines
}

// give sends one order and records why.
func (k *Controller) give(ctx context.Context, address string, order decision.Order) {
	_, err := k.options.Engines.Order(ctx, address, engineapi.Order{
		ID:           fmt.Sprintf("%s-%d-%s", k.options.Instance, order.FencingToken, order.Server),
		Kind:         order.Kind,
		Model:        order.Desired.Model,
		Version:      order.Desired.Version,
		FencingToken: order.FencingToken,
	})
	reason := fmt.Sprintf("%s %s %s: %s", order.Kind, order.Desired.Model, order.Desired.Version, order.Reason)
	if err != nil {
		reason += "; failed: " + err.Error()
	}
	k.options.Recorder.Record(serving.Decision{Subject: order.Server, Kind: "order", Server: order.Server, Reason: reason})
	k.update(func(s *Status) {
		s.Orders++
		if fault.HasCode(err, fault.FencingRejected) {
			s.Rejected++
		}
	})
	event.Log(k.options.Logger, event.OrderGiven).Str("server", order.Server).Str("reason", reason).Send()
}

func (k *Controller) update(change func(*Status)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.status)
}

// Status returns the duty's state.
func (k *Controller) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}
