package forward

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// maxAnswerBytes bounds the answer of a call in bytes. The answer is buffered
// until it is complete, so that another attempt can replace an incomplete one.
const maxAnswerBytes = 4 << 20

// callResult is the outcome of one attempt of a call.
type callResult struct {
	server  *directory.Server
	started time.Time
	// notRun is set when the request certainly did not run at the server.
	notRun   bool
	response *http1.Response
	body     []byte
	// hop is set when the request was handed to a peer. retryAfter is the time that a peer gives which did not
	// run it; 0 for none.
	hop        *hop
	retryAfter time.Duration
	// code is the kind of failure; empty for an answer that can be forwarded.
	code fault.Code
	err  error
}

// usable reports whether the result is an answer that can be sent to the client.
func (r *callResult) usable() bool { return r.code == "" }

// failedAnswer reports whether the server answered with a 5xx status.
func (r *callResult) failedAnswer() bool { return r.usable() && r.response.Status >= 500 }

var (
	errForeignAnswer     = fault.New(fault.UpstreamBroken, "the answer belongs to another request")
	errUnsigned          = fault.New(fault.UpstreamBroken, "the answer is not signed by the server")
	errEncoded           = fault.New(fault.UpstreamBroken, "the answer is encoded")
	errNotRunUnconfirmed = fault.New(fault.UpstreamBroken, "the answer has a not-run status but does not state that the request did not run")
)

// attemptCall sends a call to a server and reads its answer.
func (f *Forwarder) attemptCall(ctx context.Context, j *job, server *directory.Server, reuse bool) callResult {
	result := callResult{server: server, started: time.Now()}
	conn, err := f.openFor(ctx, j, server, connectTimeout, reuse, takesNew)
	if err != nil {
		result.notRun, result.code, result.err = true, unopenedCode(err), err
		return result
	}
	reused := conn.Reused // The connection may be another request's after the exchange.
	stopClosing := context.AfterFunc(ctx, conn.Close)
	result = f.exchangeCall(ctx, j, server, conn, result.started)
	stopClosing()
	if reused && result.response == nil && result.code == fault.UpstreamBroken && ctx.Err() == nil && j.route.Repeatable() {
		return f.repeatOverNewConnection(ctx, j, &result)
	}
	return result
}

// repeatOverNewConnection sends a call to the same server again after a reused connection broke: the server may
// have closed it before it received the call, but may also have run the call.
func (f *Forwarder) repeatOverNewConnection(ctx context.Context, j *job, first *callResult) callResult {
	event.Log(f.logger, event.ReusedConnectionBroke).Str("request", j.request.ID).Str("server", first.server.ID).
		Dur("took_ms", time.Since(first.started)).AnErr("cause", first.err).Send()
	f.meters.count("attempts.reused_connection_broke")
	f.selector.recordUnchosenSend(first.server)
	result := f.attemptCall(ctx, j, first.server, false)
	if !result.notRun || first.notRun {
		return result
	}
	result.notRun = false
	result.err = errors.Join(first.err, result.err)
	if result.code == fault.UpstreamUnreachable {
		f.recordUnreachable(first.server, result.err)
	}
	if unsent(result.code) {
		result.code = fault.UpstreamBroken
	}
	return result
}

// exchangeCall sends a call over a connection and reads its answer.
func (f *Forwarder) exchangeCall(ctx context.Context, j *job, server *directory.Server, conn *upstream.Conn, started time.Time) callResult {
	result := callResult{server: server, started: started}
	head := f.protocol.AppendRequest(make([]byte, 0, 512), j.exchange.Head, len(j.exchange.Body), message.Dispatch{
		Server: server.ID, Account: j.account, Remaining: j.remaining(), Urgency: j.rankUrgency(false),
	})
	sent, err := conn.Send(head, j.exchange.Body)
	result.notRun = !sent
	if err != nil {
		return f.failedExchange(conn, result, err)
	}
	if err := conn.SetReadDeadline(j.deadline.Add(answerMargin)); err != nil {
		return f.failedExchange(conn, result, err)
	}
	if err := conn.WaitHead(); err != nil {
		return f.failedExchange(conn, result, err)
	}
	j.unfinished.Add(1)
	defer j.unfinished.Add(-1)
	response, err := conn.ReadHead(j.exchange.Head.Method)
	if err != nil {
		return f.failedExchange(conn, result, err)
	}
	answer := f.readAnswer(server, response)
	checked := result
	checked.response = response
	f.checkAnswer(&checked, j, answer)
	if !checked.usable() {
		f.endUnusable(ctx, conn, &checked, answer)
		return checked
	}
	memory := j.answers.part()
	checked.body, err = conn.Body(response).ReadAllReserving(maxAnswerBytes, memory.grow)
	if err != nil {
		memory.release()
		return f.failedExchange(conn, result, err)
	}
	if ctx.Err() != nil {
		conn.Close()
	} else {
		f.pool.Put(server.ID, conn, response)
	}
	return checked
}

const (
	// discardTime and discardBytes bound the rest of an answer that can't be forwarded: the connection
	// is kept if the rest is there already, but the next attempt doesn't wait for it.
	discardTime  = 20 * time.Millisecond
	discardBytes = 16 << 10
)

// endUnusable ends the exchange of an answer that can't be forwarded, as its head shows.
func (f *Forwarder) endUnusable(ctx context.Context, conn *upstream.Conn, result *callResult, answer message.Answer) {
	if answer.WrongServer && !errors.Is(result.err, errForeignAnswer) {
		f.adopter.handleReplacement(result.server, answer.Server)
	}
	if answer.WrongServer || errors.Is(result.err, errForeignAnswer) || ctx.Err() != nil || conn.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		conn.Close()
		return
	}
	if _, err := conn.Body(result.response).ReadAll(discardBytes); err != nil {
		conn.Close()
		return
	}
	f.pool.Put(result.server.ID, conn, result.response)
}

// checkAnswer sets the failure of a result whose answer can't be forwarded. A
// status that promises clients that the request did not run is accepted only from
// a server that states this as well, with the request's id: it may be the late copy
// of an earlier refusal, while the request runs.
func (f *Forwarder) checkAnswer(result *callResult, j *job, answer message.Answer) {
	notRunStatus := result.response.Status == 429 || result.response.Status == 503 || result.response.Status == 408 || result.response.Status == 421
	switch {
	case answer.RequestID != j.request.ID && (answer.RequestID != "" || answer.NotRun):
		result.code, result.err = fault.UpstreamBroken, errForeignAnswer
	case answer.NotRun:
		result.notRun, result.code, result.err = true, fault.UpstreamRejected, fault.New(fault.UpstreamRejected, "status "+strconv.Itoa(result.response.Status))
	case notRunStatus:
		result.code, result.err = fault.UpstreamBroken, errNotRunUnconfirmed
	case !answer.Signed || answer.RequestID == "":
		result.code, result.err = fault.UpstreamBroken, errUnsigned
	case answer.Encoded:
		result.code, result.err = fault.UpstreamBroken, errEncoded
	}
}

// failedExchange closes the connection of a failed exchange and returns its result.
func (f *Forwarder) failedExchange(conn *upstream.Conn, result callResult, err error) callResult {
	conn.Close()
	result.code, result.err = fault.UpstreamBroken, err
	if upstream.IsTimeout(err) {
		result.code = fault.UpstreamTimeout
	}
	if errors.Is(err, errAnswersFull) {
		result.code = fault.AnswerMemoryFull
	}
	if result.notRun {
		result.code = fault.UpstreamUnreachable
	}
	return result
}

// recordCall records in the ledger how an attempt ended.
func (f *Forwarder) recordCall(result *callResult) {
	if result.code == fault.UpstreamUnreachable && !errors.Is(result.err, upstream.ErrNoTime) {
		f.recordUnreachable(result.server, result.err)
	}
	f.selector.withLedger(func(ledger *placement.Ledger, now time.Time) {
		ledger.CallEnded(now, result.started, result.server.ID, !result.usable() || result.failedAnswer())
	})
	if !result.usable() {
		f.meters.attemptFailed(result.code)
	}
}
