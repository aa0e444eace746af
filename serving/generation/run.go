package generation

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	decision "github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// inputBuffer is the capacity of the queue of inputs from the attempts.
const inputBuffer = 64

// tokenBatch is the number of tokens counted against a rate in one call.
const tokenBatch = 16

// run is one generation in progress. Only the goroutine of Generate uses its
// fields, except inputs.
type run struct {
	generator          *Generator
	parts              Parts
	request            serving.GenerationRequest
	contentFingerprint serving.Fingerprint
	codec              *cursor.Codec
	writer             serving.AnswerWriter
	ticket             serving.Ticket
	uncountedTokens    int
	machine            *decision.Machine
	config             decision.Config
	startedAt          time.Time

	// inputs receives the inputs from the goroutines of the attempts.
	inputs   chan decision.Input
	attempts map[uint32]*attempt
	// addresses holds the addresses of the servers that had an attempt, by name.
	addresses map[string]string
	// route answers the last RequestRoute; hasRoute is true until it is used.
	route           serving.Route
	hasRoute        bool
	pending         []decision.Input
	lastSent        time.Time
	callerConnected bool
	stepping        bool
	end             serving.AnswerEnd
	failure         error
}

// loop runs the machine until the generation ends or its caller disconnects.
func (r *run) loop(ctx context.Context, start decision.Start) (serving.AnswerEnd, error) {
	r.callerConnected = true
	r.lastSent = r.startedAt
	defer r.closeAttempts()
	timer := time.NewTimer(r.config.Deadline)
	defer timer.Stop()
	keepAlive := time.NewTicker(r.parts.KeepAlive)
	defer keepAlive.Stop()
	r.step(start)
	for !r.machine.Ended() && r.callerConnected {
		if at, ok := r.machine.Wake(); ok {
			timer.Reset(at - time.Since(r.startedAt))
		}
		select {
		case input := <-r.inputs:
			r.step(input)
			r.stepQueued()
		case <-timer.C:
			r.step(decision.Tick{})
		case <-ctx.Done():
			r.callerDisconnected(context.Cause(ctx))
		case <-r.generator.background.Done():
			r.callerDisconnected(fault.New(fault.Stopping, "the instance is stopping"))
		case now := <-keepAlive.C:
			r.keepAlive(now)
		}
	}
	r.endRun()
	return r.end, r.failure
}

// stepQueued passes the inputs that are already queued, so that a burst of
// tokens needs one wait only.
func (r *run) stepQueued() {
	for range inputBuffer {
		if r.machine.Ended() || !r.callerConnected {
			return
		}
		select {
		case input := <-r.inputs:
			r.step(input)
		default:
			return
		}
	}
}

// countToken counts a delivered token. Tokens are counted against the account's
// rate in batches of tokenBatch.
func (r *run) countToken() {
	r.uncountedTokens++
	if r.uncountedTokens >= tokenBatch {
		r.countTokens()
	}
}

func (r *run) countTokens() {
	r.ticket.CountTokens(r.uncountedTokens)
	r.uncountedTokens = 0
}

// step passes an input to the machine and executes its outputs.
func (r *run) step(input decision.Input) {
	r.pending = append(r.pending, input)
	r.processPending()
}

// processPending passes the pending inputs to the machine. Executing an output
// may add more inputs; a nested call leaves them to the outer one.
func (r *run) processPending() {
	if r.stepping {
		return
	}
	r.stepping = true
	defer func() { r.stepping = false }()
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		for _, output := range r.machine.Step(time.Since(r.startedAt), next) {
			r.execute(output)
		}
		r.returnRoute()
	}
}

func (r *run) execute(output decision.Output) {
	switch out := output.(type) {
	case decision.RequestRoute:
		r.requestRoute(out)
	case decision.OpenAttempt:
		r.open(out)
	case decision.CloseAttempt:
		r.close(out)
	case decision.CancelStream:
		r.cancelStream(out.Stream, false)
	case decision.Begin:
		r.checkWrite(r.writer.Begin(r.request.Model, out.Version, out.Seed))
	case decision.Deliver:
		r.deliver(out)
	case decision.Restart:
		r.checkWrite(r.writer.Restart())
		event.Log(r.parts.Logger, event.GenerationRestarted).Str("request", r.request.RequestID).Send()
	case decision.Resumed:
		r.resumed(out)
	case decision.Retain:
		r.generator.retained.keep(r.config.Request, out.Tokens)
	case decision.RecordDecision:
		r.record(out.Kind, out.Reason, out.Server)
	case decision.Finish:
		r.end = serving.AnswerEnd{Tokens: out.Tokens, Hash: out.Hash}
		r.generator.retained.remove(r.config.Request)
	case decision.Fail:
		r.failed(out.Fault)
	}
}

func (r *run) deliver(out decision.Deliver) {
	if !r.callerConnected {
		return
	}
	r.lastSent = time.Now()
	r.countToken()
	r.checkWrite(r.writer.Token(serving.Token{
		Offset: out.Position.Offset - 1,
		Text:   out.Text,
		Cursor: r.codec.Encode(&out.Position),
	}))
}

// checkWrite treats an error of the writer as a disconnected caller.
func (r *run) checkWrite(err error) {
	if err != nil {
		r.callerDisconnected(err)
	}
}

// callerDisconnected ends the answer with a partial execution and reports the
// disconnected caller to the machine. Calls after the first do nothing.
func (r *run) callerDisconnected(cause error) {
	if !r.callerConnected {
		return
	}
	r.callerConnected = false
	var typed *fault.Error
	if !errors.As(cause, &typed) {
		typed = fault.Wrap(fault.CallerDisconnected, "serving/generation", "the caller's connection ended", cause)
	}
	r.failure = typed.WithExecution(fault.ExecutionPartial)
	r.step(decision.CallerDisconnected{})
}

func (r *run) keepAlive(now time.Time) {
	if now.Sub(r.lastSent) >= r.parts.KeepAlive {
		r.checkWrite(r.writer.KeepAlive())
	}
}

func (r *run) resumed(out decision.Resumed) {
	r.generator.metrics.add(MetricResumedByKind+string(out.Kind), 1)
	event.Log(r.parts.Logger, event.GenerationResumed).
		Str("request", r.request.RequestID).
		Str("kind", string(out.Kind)).
		Dur("latency", out.Latency).
		Send()
}

func (r *run) failed(failure *fault.Error) {
	r.failure = failure
	event.Log(r.parts.Logger, event.GenerationFailed).
		Str("request", r.request.RequestID).
		Str("code", string(failure.Code)).
		Int("delivered", r.machine.Offset()).
		Send()
}

func (r *run) record(kind, reason, server string) {
	r.parts.Recorder.Record(serving.Decision{
		Time: time.Now(), Subject: r.request.RequestID, Kind: kind, Reason: reason, Server: server,
	})
}

// endRun adds the generation's counters. If the machine hasn't ended, the
// caller disconnected: the generation is kept for its grace period.
func (r *run) endRun() {
	r.countTokens()
	r.generator.metrics.addCounters(r.machine.Counters())
	if r.machine.Ended() {
		return
	}
	r.generator.metrics.add(MetricDetached, 1)
	event.Log(r.parts.Logger, event.GenerationDetached).Str("request", r.request.RequestID).Send()
	at, _ := r.machine.Wake()
	r.generator.detached.start(r.config.Request, at-time.Since(r.startedAt), r.endGracePeriod)
}

// endGracePeriod cancels the stream of a caller that did not reconnect.
func (r *run) endGracePeriod() {
	if !r.generator.beginWork() {
		return
	}
	defer r.generator.wait.Done()
	r.generator.metrics.add(MetricAbandoned, 1)
	event.Log(r.parts.Logger, event.GenerationAbandoned).Str("request", r.request.RequestID).Send()
	for _, output := range r.machine.Step(r.config.Deadline+r.config.Policy.GracePeriod, decision.Tick{}) {
		switch out := output.(type) {
		case decision.CancelStream:
			r.cancelStream(out.Stream, true)
		case decision.RecordDecision:
			r.record(out.Kind, out.Reason, out.Server)
		}
	}
}
