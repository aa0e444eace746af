package forward

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// receive passes the answer on.
func (a *streamAttempt) receive(ctx context.Context, response *http1.Response) streamResult {
	r := a.run
	answer := r.f.protocol.ParseAnswer(response)
	judged := callResult{server: a.server, response: response}
	r.f.judge(&judged, r.j, answer)
	if !judged.usable() {
		return streamResult{
			notRun: judged.notRun, wrongServer: answer.WrongServer, answeredBy: answer.Server, code: judged.code, err: judged.err,
		}
	}
	a.noteHeard()
	if response.Status != 200 {
		return a.receiveWhole(response, judged)
	}
	if !strings.HasPrefix(response.Fields.Get("Content-Type"), "text/event-stream") {
		return streamResult{code: fault.UpstreamBroken, err: errNoStream}
	}
	if err := r.begin(response); err != nil {
		return streamResult{code: fault.UpstreamBroken, err: errors.Join(errClientWrite, err)}
	}
	if r.resumes > 0 {
		event.Log(r.f.logger, event.StreamResumed).Str("request", r.j.request.ID).Str("server", a.server.ID).
			Uint64("position", r.events.position).Int("sends", r.j.sends).Dur("after_ms", time.Since(a.sent)).Send()
	}
	return a.relay(ctx, a.conn.Body(response))
}

var errNoStream = fault.New(fault.UpstreamBroken, "the answer is no event stream")

// receiveWhole reads an answer that is no stream.
func (a *streamAttempt) receiveWhole(response *http1.Response, judged callResult) streamResult {
	body, err := a.conn.Body(response).ReadAll(answerLimit)
	if err != nil {
		return streamResult{code: failureCode(err), err: err}
	}
	judged.body = body
	if a.run.j.exchange.Started() {
		return streamResult{code: fault.UpstreamBroken, err: errNoStream}
	}
	return streamResult{answered: &judged, code: fault.UpstreamBroken, err: errNoStream}
}

// relay passes events on until the stream ends.
func (a *streamAttempt) relay(ctx context.Context, body *http1.Body) streamResult {
	r := a.run
	r.events.restart()
	for {
		var data []byte
		err := a.wait(ctx, func() (err error) {
			data, err = body.Next()
			return err
		})
		if errors.Is(err, io.EOF) && body.Ended() {
			err := r.events.complete()
			return streamResult{complete: err == nil, code: fault.UpstreamBroken, err: err}
		}
		if err != nil {
			return streamResult{code: failureCode(err), err: err}
		}
		events, count, err := r.events.take(data, r.buffer)
		r.buffer = events
		if count > 0 {
			a.noteEvents(count)
			if err := r.j.exchange.Write(events); err != nil {
				return streamResult{code: fault.UpstreamBroken, err: errors.Join(errClientWrite, err)}
			}
		}
		if err != nil {
			return streamResult{code: fault.UpstreamBroken, err: err}
		}
	}
}

// noteEvents notes that events came.
func (a *streamAttempt) noteEvents(count int) {
	r := a.run
	r.delivered += count
	if r.firstEvent.IsZero() {
		r.firstEvent = time.Now()
		r.f.meters.latency(r.j.route.Kind, r.firstEvent.Sub(r.j.exchange.Received))
	}
	if !a.waiting {
		return
	}
	a.waiting = false
	change := placement.Load{PrefillTokens: -a.load.PrefillTokens}
	a.load.PrefillTokens = 0
	r.f.selector.update(func(ledger *placement.Ledger, _ time.Time) { ledger.Add(a.server.ID, change) })
}
