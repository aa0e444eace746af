package call

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/decision/retry"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Defaults of calls whose configuration leaves them out.
const (
	defaultRetention = 24 * time.Hour
	// minRetention keeps a key beyond the time in which its call may be sent.
	minRetention    = 10 * time.Minute
	defaultDeadline = 30 * time.Second
)

// Caller implements serving.Caller.
type Runner struct {
	parts     Parts
	shards    *shards
	budget    *lockedBudget
	latencies *latencies
	// running counts the calls that are not settled.
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	counts  counts
}

// New returns a caller. Close ends its goroutines.
func New(parts Parts) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		parts:     parts,
		shards:    newShards(parts),
		budget:    &lockedBudget{budget: retry.NewBudget(retryRatio, retryLimit)},
		latencies: &latencies{known: make(map[string]*retry.LatencyWindow)},
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Call implements serving.Caller. It returns as soon as the answer is known;
// outcomes are recorded and claims released in the background.
func (c *Runner) Call(ctx context.Context, request serving.CallRequest) (serving.CallResult, error) {
	if !request.Operation.Idempotent && request.Key == "" {
		return serving.CallResult{}, fault.New(fault.CallKeyMissing, "a non-idempotent call needs an Idempotency-Key").WithExecution(fault.ExecutionNotRun)
	}
	fingerprint := fingerprintOf(request)
	isolated, err := c.parts.Guard.Check(fingerprint, request.RequestID)
	if err != nil {
		return serving.CallResult{}, fault.From(err).WithExecution(unsentExecution(request))
	}
	ticket, err := c.parts.Admitter.Admit(ctx, serving.AdmissionRequest{
		RequestID: request.RequestID,
		Account:   request.Account,
		Service:   request.Service.Name,
	})
	if err != nil {
		return serving.CallResult{}, fault.From(err).WithExecution(unsentExecution(request))
	}
	defer ticket.Release()
	r := c.newRun(ctx, request, fingerprint, isolated)
	c.running.Go(r.loop)
	return r.wait(ctx)
}

// Operate commits a claim operation that a peer forwarded to this instance as
// the shard's home.
func (c *Runner) Operate(ctx context.Context, shard claim.Shard, operation claim.Operation) (claim.Answer, error) {
	answers := make(chan claim.Answer, 1)
	c.shards.get(shard).operate(operation, func(answer claim.Answer) { answers <- answer })
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return claim.Answer{}, fault.Wrap(fault.PlatformUnavailable, "serving/call", "the claim was not committed in time", ctx.Err())
	case <-c.ctx.Done():
		return claim.Answer{}, fault.New(fault.Stopping, "the instance stopped")
	}
}

// Drain waits until every call is settled or the context ends. No new calls
// must be made.
func (c *Runner) Drain(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		c.running.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Stopping, "serving/call", "calls are not settled", ctx.Err())
	}
}

// Close ends every goroutine. Calls that are not settled are left as a crash
// would leave them.
func (c *Runner) Close() {
	c.cancel()
	c.running.Wait()
	c.shards.close()
}

// newRun prepares one call.
func (c *Runner) newRun(ctx context.Context, request serving.CallRequest, fingerprint serving.Fingerprint, isolated bool) *run {
	now := time.Now()
	decision := call.Request{
		Mode:      modeOf(request.Operation),
		Keyed:     request.Key != "",
		Key:       claim.KeyOf(request.Account.Name, request.Key),
		Hash:      claim.BodyHashOf(request.Service.Name, request.Operation.Name, request.Body),
		Attempt:   claim.AttemptID(rand.Uint64()),
		Retention: retentionOf(request.Operation),
		Deadline:  deadlineOf(ctx, now, request.Service),
	}
	if decision.Mode == call.ModeIdempotent {
		decision.HedgeAfter = c.latencies.hedgeAfter(operationName(request))
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &run{
		caller:      c,
		request:     request,
		decision:    decision,
		machine:     call.New(c.parts.Call, decision, c.budget, random),
		shard:       claim.ShardOf(c.homeRegion(request.Account), decision.Key),
		fingerprint: fingerprint,
		isolated:    isolated,
		inputs:      make(chan call.Input, inputsBuffered),
		finished:    make(chan call.Finish, 1),
		attempts:    make(map[int]context.CancelFunc),
		started:     now,
	}
}

func modeOf(operation estate.Operation) call.Mode {
	switch {
	case operation.Idempotent:
		return call.ModeIdempotent
	case operation.ChecksKeys:
		return call.ModeChecked
	default:
		return call.ModeClaimed
	}
}

func retentionOf(operation estate.Operation) time.Duration {
	if operation.ClaimRetention == 0 {
		return defaultRetention
	}
	return max(operation.ClaimRetention.Std(), minRetention)
}

func deadlineOf(ctx context.Context, now time.Time, service estate.Service) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	if service.Deadline > 0 {
		return now.Add(service.Deadline.Std())
	}
	return now.Add(defaultDeadline)
}

// homeRegion returns the region whose shards hold the account's claims.
func (c *Runner) homeRegion(account estate.ClientAccount) string {
	current := c.parts.Configuration.Current()
	if current == nil {
		return ""
	}
	for _, firm := range current.Firms {
		if firm.Name == account.Firm {
			return firm.HomeRegion
		}
	}
	return ""
}

// home returns the instance to which the shard's operations are forwarded, ""
// when this one commits them itself.
func (c *Runner) home(shard claim.Shard) string {
	if c.parts.Forwarder == nil || c.parts.Instances == nil {
		return ""
	}
	home := shard.Owner(c.parts.Instances.InRegion(shard.Region))
	if home == c.parts.Instance {
		return ""
	}
	return home
}

// unsentExecution is the execution of a call that is refused before its key
// was read.
func unsentExecution(request serving.CallRequest) fault.Execution {
	if request.Key != "" {
		return fault.ExecutionRefusedHere
	}
	return fault.ExecutionNotRun
}

func operationName(request serving.CallRequest) string {
	return request.Service.Name + "/" + request.Operation.Name
}

// fingerprintOf identifies the content of a call without its key.
func fingerprintOf(request serving.CallRequest) serving.Fingerprint {
	return serving.Fingerprint(claim.BodyHashOf(request.Service.Name, request.Operation.Name, request.Body))
}

// cancelled reports whether the context ended for another reason than its
// deadline, which the machine keeps itself.
func cancelled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
