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

// Defaults and limits of calls that the configuration doesn't set.
const (
	defaultRetention = 24 * time.Hour
	// minRetention is longer than the time in which a call may be sent: a key
	// must be kept beyond it.
	minRetention    = 10 * time.Minute
	defaultDeadline = 30 * time.Second
)

// Runner implements serving.CallRunner.
type Runner struct {
	parts     Parts
	shards    *shards
	budget    *lockedBudget
	latencies *latencies
	// running counts the calls that are not settled: an outcome must still be
	// recorded or a claim released.
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	counts  counts
}

// New returns a runner. Close stops its goroutines.
func New(parts Parts) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		parts:     parts,
		shards:    newShards(parts),
		budget:    &lockedBudget{budget: retry.NewBudget(retryRatio, retryLimit)},
		latencies: &latencies{byOperation: make(map[string]*retry.LatencyWindow)},
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Call implements serving.CallRunner. It returns as soon as there is an answer;
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
// the shard's owner.
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

// Close stops every goroutine. Calls that are not settled are left in the state
// in which a crash would leave them.
func (c *Runner) Close() {
	c.cancel()
	c.running.Wait()
	c.shards.close()
}

// newRun prepares one call.
func (c *Runner) newRun(ctx context.Context, request serving.CallRequest, fingerprint serving.Fingerprint, isolated bool) *run {
	now := time.Now()
	machineRequest := call.Request{
		Mode:      modeOf(request.Operation),
		Keyed:     request.Key != "",
		Key:       claim.KeyOf(request.Account.Name, request.Key),
		Hash:      claim.BodyHashOf(request.Service.Name, request.Operation.Name, request.Body),
		Attempt:   claim.AttemptID(rand.Uint64()),
		Retention: retentionOf(request.Operation),
		Deadline:  deadlineOf(ctx, now, request.Service),
	}
	if machineRequest.Mode == call.ModeIdempotent {
		machineRequest.HedgeAfter = c.latencies.hedgeDelay(operationName(request))
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &run{
		runner:         c,
		request:        request,
		machineRequest: machineRequest,
		machine:        call.New(c.parts.Call, machineRequest, c.budget, random),
		shard:          claim.ShardOf(c.homeRegion(request.Account), machineRequest.Key),
		fingerprint:    fingerprint,
		isolated:       isolated,
		inputs:         make(chan call.Input, inputBuffer),
		finished:       make(chan call.Finish, 1),
		attempts:       make(map[int]context.CancelFunc),
		started:        now,
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

// ownerOf returns the shard's owner, to which its operations are forwarded. It is
// empty when this instance commits them itself.
func (c *Runner) ownerOf(shard claim.Shard) string {
	if c.parts.Forwarder == nil || c.parts.Instances == nil {
		return ""
	}
	owner := shard.Owner(c.parts.Instances.InRegion(shard.Region))
	if owner == c.parts.Instance {
		return ""
	}
	return owner
}

// unsentExecution returns the execution of a call that is refused before its
// claim was read. An earlier submission of a key may have run.
func unsentExecution(request serving.CallRequest) fault.Execution {
	if request.Key != "" {
		return fault.ExecutionRefusedHere
	}
	return fault.ExecutionNotRun
}

func operationName(request serving.CallRequest) string {
	return request.Service.Name + "/" + request.Operation.Name
}

// fingerprintOf returns the fingerprint of a call's content without its key.
func fingerprintOf(request serving.CallRequest) serving.Fingerprint {
	return serving.Fingerprint(claim.BodyHashOf(request.Service.Name, request.Operation.Name, request.Body))
}

// cancelled reports whether the context was cancelled. A passed deadline doesn't
// count: the machine enforces it.
func cancelled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
