package forward

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// check keeps the head of an answer that can be forwarded. It returns the result of an attempt whose
// answer can't be, else nil.
func (a *streamAttempt) check(response *http1.Response) *streamResult {
	if a.hop != nil {
		return a.checkRelay(response)
	}
	r := a.run
	answer := r.f.readAnswer(a.server, response)
	checked := callResult{server: a.server, response: response}
	r.f.checkAnswer(&checked, r.j, answer)
	if !checked.usable() {
		return &streamResult{
			notRun: checked.notRun, wrongServer: answer.WrongServer && !errors.Is(checked.err, errForeignAnswer), answeredBy: answer.Server, code: checked.code, err: checked.err,
		}
	}
	a.response = response
	a.recordAnswer()
	a.progressed(time.Now())
	return nil
}

// receive forwards the answer, whose head was received.
func (a *streamAttempt) receive(ctx context.Context) streamResult {
	r, response := a.run, a.response
	if response.Status != 200 {
		return a.receiveWhole(ctx)
	}
	if !strings.HasPrefix(response.Fields.Get("Content-Type"), "text/event-stream") {
		return streamResult{code: fault.UpstreamBroken, err: errNoStream}
	}
	if r.resumes > 0 {
		event.Log(r.f.logger, event.StreamResumed).Str("request", r.j.request.ID).Str("server", a.server.ID).
			Uint64("position", r.events.position).Int("sends", r.j.sends).Dur("after_ms", time.Since(a.sentAt)).Send()
	}
	return a.forwardEvents(ctx, response)
}

var errNoStream = fault.New(fault.UpstreamBroken, "the answer is not an event stream")

// receiveWhole reads an answer that is not a stream. It can be forwarded only if
// no part of a stream was sent to the client.
func (a *streamAttempt) receiveWhole(ctx context.Context) streamResult {
	if a.run.j.exchange.Started() {
		return streamResult{code: fault.UpstreamBroken, err: errNoStream}
	}
	memory := a.run.j.answers.part()
	body, err := a.readWhole(ctx, a.conn.Body(a.response), memory)
	if err != nil {
		memory.release()
		return streamResult{code: failureCode(err), err: err}
	}
	answer := &callResult{server: a.server, response: a.response, body: body, hop: a.hop}
	return streamResult{finalAnswer: answer, code: fault.UpstreamBroken, err: errNoStream}
}

// readWhole reads the rest of an answer's body into memory that it takes.
func (a *streamAttempt) readWhole(ctx context.Context, body *http1.Body, memory *answerPart) (whole []byte, err error) {
	for {
		var data []byte
		err := a.awaitData(ctx, func() (err error) {
			data, err = body.Next()
			return err
		})
		if errors.Is(err, io.EOF) && body.Ended() {
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
		if len(whole)+len(data) > maxAnswerBytes {
			return nil, errAnswerTooLong
		}
		if err := memory.grow(len(data)); err != nil {
			return nil, err
		}
		whole = append(whole, data...)
	}
}

var errAnswerTooLong = fault.New(fault.UpstreamBroken, "the answer is too long")

// forwardEvents forwards events until the stream ends. The client gets the head with the first of
// them, so that another server's answer can replace one that has none.
func (a *streamAttempt) forwardEvents(ctx context.Context, response *http1.Response) streamResult {
	r, body := a.run, a.conn.Body(response)
	r.events.restart(r.j.exchange.Started())
	memory := r.j.answers.part()
	defer memory.release()
	for {
		var data []byte
		a.pace.waits(time.Now())
		err := a.awaitData(ctx, func() (err error) {
			data, err = body.Next()
			return err
		})
		if errors.Is(err, io.EOF) && body.Ended() {
			return a.completeStream(response)
		}
		if err != nil {
			return streamResult{code: failureCode(err), err: err}
		}
		for part := range slices.Chunk(data, maxPartBytes) {
			if failure := a.forwardPart(response, part, memory); failure != nil {
				return *failure
			}
		}
	}
}

// maxPartBytes bounds what is forwarded at once in bytes, beside an event that began before: a stream whose client reads slowly
// holds several copies of it.
const maxPartBytes = 8 << 10

// forwardPart forwards the events that end in a part of the stream. It returns the result of an attempt that failed, else nil.
func (a *streamAttempt) forwardPart(response *http1.Response, part []byte, memory *answerPart) *streamResult {
	r := a.run
	events, count, err := r.events.push(part, r.buffer)
	r.buffer = events
	if count > 0 {
		a.recordEvents(count)
		if err := r.write(a.server, response, events); err != nil {
			return &streamResult{code: fault.UpstreamBroken, err: err}
		}
	}
	if err == nil {
		err = memory.resize(len(r.events.partial))
	}
	if err != nil {
		return &streamResult{code: failureCode(err), err: err}
	}
	return nil
}

var errNoEvents = fault.New(fault.UpstreamBroken, "the connection ended before the first event of a stream without framing")

// completeStream ends the stream unless it ended within an event. One that has neither a length nor chunks must have
// begun, because the end of its connection doesn't tell whether it is complete.
func (a *streamAttempt) completeStream(response *http1.Response) streamResult {
	r := a.run
	err := r.events.complete()
	if response.Framing.Kind == http1.FramingClose && !r.events.positionKnown {
		err = errors.Join(errNoEvents, err)
	}
	if err == nil {
		err = r.write(a.server, response, r.events.rest())
	}
	return streamResult{complete: err == nil, code: fault.UpstreamBroken, err: err}
}

// write sends a part of the stream to the client, after its head if it was not sent yet. Errors are
// errClientWrite.
func (r *streamRun) write(server *directory.Server, response *http1.Response, part []byte) error {
	begun := time.Now()
	err := r.begin(server, response)
	if err == nil {
		err = r.j.exchange.Write(part)
	}
	r.slow.wrote(begun, time.Now())
	if err != nil {
		return errors.Join(errClientWrite, err)
	}
	return nil
}

// recordEvents records the arrival of events. With the first one the prompt no
// longer counts as waiting in the load of the server.
func (a *streamAttempt) recordEvents(count int) {
	r := a.run
	now := time.Now()
	if a.hop == nil && !a.awaitsFirstEvent() {
		a.eventIntervals.Observe(now.Sub(a.receivedAt))
		a.observePace(now, count)
		a.recordResponse()
	}
	a.progressed(now)
	a.measured.Events(count)
	r.deliveredEvents += count
	r.deliveredBy = a.server.ID
	r.recordVersion(a)
	if r.firstEventAt.IsZero() {
		r.firstEventAt = time.Now()
		r.f.meters.latency(r.j.route.Kind, r.firstEventAt.Sub(r.j.exchange.Received))
	}
	if a.hop != nil {
		r.relays = 0
		return
	}
	if !a.awaitsFirstEvent() {
		a.recordProgress(now)
		return
	}
	a.firstEventAt = now
	change := placement.Load{PrefillTokens: -a.load.PrefillTokens}
	a.load.PrefillTokens = 0
	r.f.selector.withLedger(func(ledger *placement.Ledger, _ time.Time) { ledger.Add(a.server.ID, change) })
	a.observeRead()
}
