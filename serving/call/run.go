package call

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// inputBuffer is the capacity of the queue of inputs to a call's machine.
const inputBuffer = 16

// lateAnswerTimeout is how long an attempt may outlast the call's deadline, so
// that its outcome can still be recorded.
const lateAnswerTimeout = 10 * time.Second

// run is one call in progress.
type run struct {
	runner         *Runner
	request        serving.CallRequest
	machineRequest call.Request
	machine        *call.Machine
	shard          claim.Shard
	fingerprint    serving.Fingerprint
	isolated       bool
	started        time.Time
	inputs         chan call.Input
	finished       chan call.Finish
	// route is the chosen route until it is dispatched.
	route      *serving.Route
	attempts   map[int]context.CancelFunc
	nextTickAt time.Time
}

// wait returns the call's answer. A cancelled context ends the wait, not the
// call; a passed deadline doesn't end the wait, as the machine answers then.
func (r *run) wait(ctx context.Context) (serving.CallResult, error) {
	done := ctx.Done()
	for {
		select {
		case answer := <-r.finished:
			return resultOf(answer)
		case <-r.runner.ctx.Done():
			return serving.CallResult{}, fault.New(fault.CallOutcomeUnknown, "the instance stopped").WithExecution(fault.ExecutionUnknown)
		case <-done:
			if cancelled(ctx) {
				return serving.CallResult{}, fault.New(fault.CallOutcomeUnknown, "the caller disconnected").WithExecution(fault.ExecutionUnknown)
			}
			done = nil
		}
	}
}

func resultOf(answer call.Finish) (serving.CallResult, error) {
	if answer.Fault != nil {
		return serving.CallResult{}, answer.Fault
	}
	return serving.CallResult{
		Status:      answer.Outcome.Status,
		ContentType: answer.Outcome.ContentType,
		Body:        answer.Outcome.Body,
		Replayed:    answer.Replayed,
		BodyOmitted: answer.Outcome.BodyOmitted,
	}, nil
}

// loop runs the machine until the call is settled or given up.
func (r *run) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer r.closeAttempts()
	r.step(call.Start{})
	for !r.machine.Done() {
		timer.Reset(time.Until(r.nextTickAt))
		select {
		case input := <-r.inputs:
			r.step(input)
		case <-timer.C:
			r.step(call.Tick{})
		case <-r.runner.ctx.Done():
			return
		}
	}
	r.logUnsettled()
}

// closeAttempts releases the unused route and cancels the remaining attempts.
func (r *run) closeAttempts() {
	r.releaseRoute()
	for _, cancel := range r.attempts {
		cancel()
	}
}

// logUnsettled logs a call whose claim was not released or outcome not recorded.
func (r *run) logUnsettled() {
	if r.machine.ClaimCompleted() {
		return
	}
	definition := event.ClaimNotReleased
	if r.machine.RecordsOutcome() {
		definition = event.OutcomeNotRecorded
	}
	event.Log(r.runner.parts.Logger, definition).Str("request", r.request.RequestID).Str("key", r.request.Key).Send()
}

func (r *run) step(input call.Input) {
	r.nextTickAt = time.Now().Add(time.Hour)
	for _, output := range r.machine.Step(time.Now(), input) {
		switch output := output.(type) {
		case call.Submit:
			r.submit(output)
		case call.RequestRoute:
			r.pickServer(output)
		case call.Dispatch:
			r.dispatch(output)
		case call.Cancel:
			r.attempts[output.Attempt]()
		case call.Finish:
			r.finish(output)
		case call.Wake:
			r.nextTickAt = output.At
		}
	}
}

// queueInput queues an input for the machine without blocking.
func (r *run) queueInput(input call.Input) {
	select {
	case r.inputs <- input:
	default:
		go r.queueInputWaiting(input)
	}
}

// queueInputWaiting gives up after lateAnswerTimeout: the call has ended then.
func (r *run) queueInputWaiting(input call.Input) {
	select {
	case r.inputs <- input:
	case <-time.After(lateAnswerTimeout):
	case <-r.runner.ctx.Done():
	}
}

// submit sends a claim operation to the shard's owner or commits it here.
func (r *run) submit(submit call.Submit) {
	operation := submit.Operation
	owner := r.runner.ownerOf(r.shard)
	if submit.Direct || owner == "" {
		r.runner.shards.get(r.shard).operate(operation, func(answer claim.Answer) {
			r.queueInput(call.OperationAnswered{ID: operation.ID, Verdict: answer.Result, Outcome: answer.Outcome})
		})
		return
	}
	go r.forward(owner, operation)
}

func (r *run) forward(owner string, operation claim.Operation) {
	ctx, cancel := context.WithTimeout(r.runner.ctx, operation.Timeout)
	defer cancel()
	answer, err := r.runner.parts.Forwarder.Forward(ctx, owner, r.shard, operation)
	if err != nil {
		r.queueInput(call.ForwardFailed{ID: operation.ID})
		return
	}
	r.queueInput(call.OperationAnswered{ID: operation.ID, Verdict: answer.Result, Outcome: answer.Outcome})
}

// finish answers the caller.
func (r *run) finish(answer call.Finish) {
	r.runner.counts.add(answer)
	r.record(answer)
	if answer.Fault == nil && !answer.Replayed && r.machineRequest.Mode == call.ModeIdempotent {
		r.runner.latencies.observe(operationName(r.request), time.Since(r.started))
	}
	r.finished <- answer
}

// record records the reason of the answer for explanations.
func (r *run) record(answer call.Finish) {
	kind, reason := "answer", "the backend server answered"
	switch {
	case answer.Fault != nil:
		kind, reason = "refuse", string(answer.Fault.Execution)+": "+answer.Fault.Error()
	case answer.Replayed:
		kind, reason = "replay", "the recorded outcome of an earlier submission of the key"
	}
	r.runner.parts.Recorder.Record(serving.Decision{Time: time.Now(), Subject: r.request.RequestID, Kind: kind, Reason: reason})
	if answer.Fault != nil && answer.Fault.Execution == fault.ExecutionUnknown && r.machineRequest.Mode != call.ModeIdempotent {
		event.Log(r.runner.parts.Logger, event.CallOutcomeUnknown).
			Str("request", r.request.RequestID).
			Str("key", r.request.Key).
			Str("reason", answer.Fault.Reason).
			Send()
	}
}
