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

// inputBuffer is how many inputs of streams wait for the machine.
const inputBuffer = 64

// tokensCounted is how many tokens are counted against a rate at a time.
const tokensCounted = 16

// run is one generation in progress. Its fields belong to the goroutine of
// Generate, except inputs.
type run struct {
	generator *Generator
	parts     Parts
	request   serving.GenerationRequest
	suspect   serving.Fingerprint
	codec     *cursor.Codec
	writer    serving.AnswerWriter
	ticket    serving.Ticket
	uncounted int
	machine   *decision.Machine
	config    decision.Config
	began     time.Time

	// inputs joins the goroutines of the attempts with this one.
	inputs   chan decision.Input
	attempts map[uint32]*attempt
	// addresses are those of the servers that had an attempt, by name.
	addresses map[string]string
	// route is the answer to the last RequestRoute, until it is used.
	route    serving.Route
	routed   bool
	pending  []decision.Input
	lastSent time.Time
	callerUp bool
	stepping bool
	end      serving.AnswerEnd
	failure  error
}

// loop drives the machine until the generation ends at this instance.
func (r *run) loop(ctx context.Context, start decision.Start) (serving.AnswerEnd, error) {
	r.callerUp = true
	r.lastSent = r.began
	defer r.closeAttempts()
	timer := time.NewTimer(r.config.Deadline)
	defer timer.Stop()
	keepAlive := time.NewTicker(r.parts.KeepAlive)
	defer keepAlive.Stop()
	r.step(start)
	for !r.machine.Ended() && r.callerUp {
		if at, ok := r.machine.Wake(); ok {
			timer.Reset(at - time.Since(r.began))
		}
		select {
		case input := <-r.inputs:
			r.step(input)
			r.stepWaiting()
		case <-timer.C:
			r.step(decision.Tick{})
		case <-ctx.Done():
			r.callerLost(context.Cause(ctx))
		case <-r.generator.background.Done():
			r.callerLost(fault.New(fault.Stopping, "the instance is stopping"))
		case now := <-keepAlive.C:
			r.keepAlive(now)
		}
	}
	r.finishUp()
	return r.end, r.failure
}

// stepWaiting passes the inputs that are waiting already, so that a burst of
// tokens costs one wait.
func (r *run) stepWaiting() {
	for range inputBuffer {
		if r.machine.Ended() || !r.callerUp {
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

// countToken counts a delivered token against the account's rate, several at a
// time.
func (r *run) countToken() {
	r.uncounted++
	if r.uncounted >= tokensCounted {
		r.countTokens()
	}
}

func (r *run) countTokens() {
	r.ticket.CountTokens(r.uncounted)
	r.uncounted = 0
}

// step passes an input to the machine and carries out what follows.
func (r *run) step(input decision.Input) {
	r.pending = append(r.pending, input)
	r.drain()
}

// drain passes the queued inputs to the machine. Outputs may queue more.
func (r *run) drain() {
	if r.stepping {
		return
	}
	r.stepping = true
	defer func() { r.stepping = false }()
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		for _, output := range r.machine.Step(time.Since(r.began), next) {
			r.carryOut(output)
		}
		r.returnRoute()
	}
}

func (r *run) carryOut(output decision.Output) {
	switch out := output.(type) {
	case decision.RequestRoute:
		r.ask(out)
	case decision.OpenAttempt:
		r.open(out)
	case decision.CloseAttempt:
		r.close(out)
	case decision.CancelStream:
		r.cancelStream(out.Stream, false)
	case decision.Begin:
		r.check(r.writer.Begin(r.request.Model, out.Version, out.Seed))
	case decision.Deliver:
		r.deliver(out)
	case decision.Restart:
		r.check(r.writer.Restart())
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
	if !r.callerUp {
		return
	}
	r.lastSent = time.Now()
	r.countToken()
	r.check(r.writer.Token(serving.Token{
		Offset: out.Position.Offset - 1,
		Text:   out.Text,
		Cursor: r.codec.Encode(&out.Position),
	}))
}

// check takes an error of the writer as the loss of the caller.
func (r *run) check(err error) {
	if err != nil {
		r.callerLost(err)
	}
}

// callerLost tells the machine once that the caller is gone.
func (r *run) callerLost(cause error) {
	if !r.callerUp {
		return
	}
	r.callerUp = false
	var typed *fault.Error
	if !errors.As(cause, &typed) {
		typed = fault.Wrap(fault.CallerDisconnected, "serving/generation", "the caller's connection ended", cause)
	}
	r.failure = typed.WithExecution(fault.ExecutionPartial)
	r.step(decision.CallerDisconnected{})
}

func (r *run) keepAlive(now time.Time) {
	if now.Sub(r.lastSent) >= r.parts.KeepAlive {
		r.check(r.writer.KeepAlive())
	}
}

func (r *run) resumed(out decision.Resumed) {
	r.generator.meters.add(MetricResumedByKind+string(out.Kind), 1)
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

// finishUp accounts for the generation and keeps a detached one.
func (r *run) finishUp() {
	r.countTokens()
	r.generator.meters.account(r.machine.Counters())
	if r.machine.Ended() {
		return
	}
	r.generator.meters.add(MetricDetached, 1)
	event.Log(r.parts.Logger, event.GenerationDetached).Str("request", r.request.RequestID).Send()
	at, _ := r.machine.Wake()
	r.generator.detached.keep(r.config.Request, at-time.Since(r.began), r.endGrace)
}

// endGrace cancels the stream of a caller that did not come back.
func (r *run) endGrace() {
	if !r.generator.enter() {
		return
	}
	defer r.generator.wait.Done()
	r.generator.meters.add(MetricAbandoned, 1)
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
