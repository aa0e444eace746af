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

// inputsBuffered bounds the events of one call that wait for its machine.
const inputsBuffered = 16

// lateAnswer is how long a call is listened to after its deadline, so that its
// outcome can still be recorded.
const lateAnswer = 10 * time.Second

// run is one call in progress.
type run struct {
	caller      *Runner
	request     serving.CallRequest
	decision    call.Request
	machine     *call.Machine
	shard       claim.Shard
	fingerprint serving.Fingerprint
	isolated    bool
	started     time.Time
	inputs      chan call.Input
	finished    chan call.Finish
	// route is the last choice that was not dispatched yet.
	route    *serving.Route
	attempts map[int]context.CancelFunc
	wake     time.Time
}

// wait returns the call's answer. A cancelled context ends the wait alone.
func (r *run) wait(ctx context.Context) (serving.CallResult, error) {
	done := ctx.Done()
	for {
		select {
		case answer := <-r.finished:
			return resultOf(answer)
		case <-r.caller.ctx.Done():
			return serving.CallResult{}, fault.New(fault.CallOutcomeUnknown, "the instance stopped").WithExecution(fault.ExecutionUnknown)
		case <-done:
			if cancelled(ctx) {
				return serving.CallResult{}, fault.New(fault.CallOutcomeUnknown, "the caller left").WithExecution(fault.ExecutionUnknown)
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

// loop drives the machine until the call is settled.
func (r *run) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer r.endAttempts()
	r.step(call.Start{})
	for !r.machine.Done() {
		timer.Reset(time.Until(r.wake))
		select {
		case input := <-r.inputs:
			r.step(input)
		case <-timer.C:
			r.step(call.Tick{})
		case <-r.caller.ctx.Done():
			return
		}
	}
	r.report()
}

// endAttempts ends what the machine left running.
func (r *run) endAttempts() {
	r.dropRoute()
	for _, cancel := range r.attempts {
		cancel()
	}
}

// report logs a call that was not settled.
func (r *run) report() {
	if r.machine.ClaimCompleted() {
		return
	}
	definition := event.ClaimNotReleased
	if r.machine.RecordsOutcome() {
		definition = event.OutcomeNotRecorded
	}
	event.Log(r.caller.parts.Logger, definition).Str("request", r.request.RequestID).Str("key", r.request.Key).Send()
}

func (r *run) step(input call.Input) {
	r.wake = time.Now().Add(time.Hour)
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
			r.wake = output.At
		}
	}
}

// offer hands an event to the machine unless the call ended.
func (r *run) offer(input call.Input) {
	select {
	case r.inputs <- input:
	default:
		go r.deliver(input)
	}
}

func (r *run) deliver(input call.Input) {
	select {
	case r.inputs <- input:
	case <-time.After(lateAnswer):
	case <-r.caller.ctx.Done():
	}
}

// submit takes a claim operation to the shard's home or to the own shard.
func (r *run) submit(submit call.Submit) {
	operation := submit.Operation
	home := r.caller.home(r.shard)
	if submit.Direct || home == "" {
		r.caller.shards.get(r.shard).operate(operation, func(answer claim.Answer) {
			r.offer(call.OperationAnswered{ID: operation.ID, Verdict: answer.Result, Outcome: answer.Outcome})
		})
		return
	}
	go r.forward(home, operation)
}

func (r *run) forward(home string, operation claim.Operation) {
	ctx, cancel := context.WithTimeout(r.caller.ctx, operation.Timeout)
	defer cancel()
	answer, err := r.caller.parts.Forwarder.Forward(ctx, home, r.shard, operation)
	if err != nil {
		r.offer(call.ForwardFailed{ID: operation.ID})
		return
	}
	r.offer(call.OperationAnswered{ID: operation.ID, Verdict: answer.Result, Outcome: answer.Outcome})
}

// finish answers the caller.
func (r *run) finish(answer call.Finish) {
	r.caller.counts.add(answer)
	r.record(answer)
	if answer.Fault == nil && !answer.Replayed && r.decision.Mode == call.ModeIdempotent {
		r.caller.latencies.observe(operationName(r.request), time.Since(r.started))
	}
	r.finished <- answer
}

// record keeps the reason of the answer for explanations.
func (r *run) record(answer call.Finish) {
	kind, reason := "answer", "the backend server answered"
	switch {
	case answer.Fault != nil:
		kind, reason = "refuse", string(answer.Fault.Execution)+": "+answer.Fault.Error()
	case answer.Replayed:
		kind, reason = "replay", "the recorded outcome of an earlier submission of the key"
	}
	r.caller.parts.Recorder.Record(serving.Decision{Time: time.Now(), Subject: r.request.RequestID, Kind: kind, Reason: reason})
	if answer.Fault != nil && answer.Fault.Execution == fault.ExecutionUnknown && r.decision.Mode != call.ModeIdempotent {
		event.Log(r.caller.parts.Logger, event.CallOutcomeUnknown).
			Str("request", r.request.RequestID).
			Str("key", r.request.Key).
			Str("reason", answer.Fault.Reason).
			Send()
	}
}
