package admission

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Controller implements serving.Authenticator and serving.Admitter. It is safe
// for concurrent use.
type Controller struct {
	configuration serving.ConfigurationSource
	capacity      serving.CapacitySource
	exchange      serving.LimitExchange
	options       Options
	started       time.Time
	keys          atomic.Pointer[keys]
	ready         atomic.Bool

	mu      sync.Mutex
	core    *admission.Controller
	book    *share.Allocator
	waiting map[string]chan *fault.Error
	next    uint64
	limited *estate.Configuration
	noted   map[string]notedShares
}

// New returns a controller. The exchange may be nil.
func New(configuration serving.ConfigurationSource, capacity serving.CapacitySource, exchange serving.LimitExchange, options Options) *Controller {
	if options.Config == (admission.Config{}) {
		options.Config = admission.DefaultConfig()
	}
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(seed, seed))
	c := &Controller{
		configuration: configuration, capacity: capacity, exchange: exchange, options: options,
		started: time.Now(),
		core:    admission.New(options.Config, random),
		waiting: make(map[string]chan *fault.Error),
		noted:   make(map[string]notedShares),
	}
	if exchange != nil {
		c.book = share.NewAllocator(share.DefaultConfig(exchange.Period()), options.Instance, options.DataCentre, random)
	}
	return c
}

// Ready reports whether the shares of the limits are settled for the first
// time; before that an instance refuses accounts that have limits.
func (c *Controller) Ready() bool { return c.exchange == nil || c.ready.Load() }

// Services returns the state of every service's queue for the dump.
func (c *Controller) Services() []admission.ServiceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Services()
}

// Authenticate implements serving.Authenticator.
func (c *Controller) Authenticate(bearer string) (estate.ClientAccount, error) {
	current := c.configuration.Current()
	if current == nil {
		return estate.ClientAccount{}, fault.New(fault.ConfigurationUnset, "no configuration is in force").
			WithExecution(fault.ExecutionNotRun)
	}
	known := c.keys.Load()
	if known == nil || known.configuration != current {
		known = newKeys(current)
		c.keys.Store(known)
	}
	if account, ok := known.find(bearer); ok {
		return account, nil
	}
	return estate.ClientAccount{}, fault.New(fault.Unauthenticated, "the bearer key is missing or unknown").
		WithExecution(fault.ExecutionNotRun)
}

// Admit implements serving.Admitter.
func (c *Controller) Admit(ctx context.Context, request serving.AdmissionRequest) (serving.Ticket, error) {
	id, answer := c.arrive(ctx, request)
	select {
	case refusal := <-answer:
		if refusal != nil {
			return nil, refusal
		}
		return &ticket{controller: c, id: id}, nil
	case <-ctx.Done():
		c.release(id)
		return nil, fault.Wrap(fault.DeadlinePassed, "serving/admission", "the request ended while it waited", context.Cause(ctx)).
			WithExecution(fault.ExecutionNotRun).WithRetryAfter(c.options.Config.MinRetryAfter)
	}
}

// arrive hands the request to the decision and returns its id and the channel
// of its answer.
func (c *Controller) arrive(ctx context.Context, request serving.AdmissionRequest) (string, <-chan *fault.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	now := c.now()
	c.next++
	id := strconv.FormatUint(c.next, 10)
	answer := make(chan *fault.Error, 1)
	c.waiting[id] = answer
	deadline := now + c.options.Config.MaxWait
	if limit, ok := ctx.Deadline(); ok {
		deadline = limit.Sub(c.started)
	}
	c.apply(c.core.Arrive(now, admission.Arrival{
		ID: id, Account: request.Account, Service: request.Service,
		Tokens: request.MaxTokens, Priority: request.Priority, Resumed: request.Resumed, Deadline: deadline,
	}))
	return id, answer
}

func (c *Controller) release(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	c.apply(c.core.Release(c.now(), id))
}

func (c *Controller) tokens(id string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.AddTokens(c.now(), id, count)
}

// apply answers the requests that the outputs name.
func (c *Controller) apply(outputs []admission.Output) {
	for _, output := range outputs {
		if answer, ok := c.waiting[output.ID]; ok {
			delete(c.waiting, output.ID)
			answer <- output.Refusal
		}
	}
}

func (c *Controller) now() time.Duration { return time.Since(c.started) }
