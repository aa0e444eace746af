package forward

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// answerLimit bounds the answer of a call in bytes, which is kept until it is
// complete so that a broken one can be replaced.
const answerLimit = 4 << 20

// callResult is how one attempt of a call ended.
type callResult struct {
	server  *directory.Server
	started time.Time
	// notRun is set when the request certainly has not run there.
	notRun   bool
	response *http1.Response
	body     []byte
	// code says what failed; empty for an answer that can be passed on.
	code fault.Code
	err  error
}

// usable reports whether the result is an answer for the client.
func (r *callResult) usable() bool { return r.code == "" }

// failedAnswer reports whether a server answered with a failure of its own.
func (r *callResult) failedAnswer() bool { return r.usable() && r.response.Status >= 500 }

var (
	errForeignAnswer = fault.New(fault.UpstreamBroken, "the answer belongs to another request")
	errUnsigned      = fault.New(fault.UpstreamBroken, "the answer is not vouched for by the server")
	errEncoded       = fault.New(fault.UpstreamBroken, "the answer is encoded")
	errFalsePromise  = fault.New(fault.UpstreamBroken, "the answer promises what only a server that did not run the request may")
)

// attemptCall sends a call to a server and reads its answer.
func (f *Forwarder) attemptCall(ctx context.Context, j *job, server *directory.Server, reuse bool) callResult {
	result := callResult{server: server, started: time.Now()}
	conn, err := f.pool.Open(ctx, server.ID, server.Address, connectTimeout, reuse)
	if err != nil {
		result.notRun, result.code, result.err = true, fault.UpstreamUnreachable, err
		return result
	}
	cut := context.AfterFunc(ctx, conn.Close)
	result = f.exchangeCall(ctx, j, server, conn, result.started)
	cut()
	if conn.Reused && result.response == nil && result.code == fault.UpstreamBroken && ctx.Err() == nil && j.route.Repeatable() {
		// The server closed the kept connection before it saw the request.
		return f.attemptCall(ctx, j, server, false)
	}
	return result
}

// exchangeCall sends a call over a connection.
func (f *Forwarder) exchangeCall(ctx context.Context, j *job, server *directory.Server, conn *upstream.Conn, started time.Time) callResult {
	result := callResult{server: server, started: started}
	head := f.protocol.AppendRequest(make([]byte, 0, 512), j.exchange.Head, len(j.exchange.Body), message.Dispatch{
		Server: server.ID, Account: j.account, Remaining: j.remaining(),
	})
	sent, err := conn.Send(head, j.exchange.Body)
	result.notRun = !sent
	if err != nil {
		return f.broken(conn, result, err)
	}
	if err := conn.SetReadDeadline(j.deadline.Add(answerMargin)); err != nil {
		return f.broken(conn, result, err)
	}
	response, err := conn.ReadHead(j.exchange.Head.Method)
	if err != nil {
		return f.broken(conn, result, err)
	}
	answer := f.protocol.ParseAnswer(response)
	body, err := conn.Body(response).ReadAll(answerLimit)
	if err != nil {
		return f.broken(conn, result, err)
	}
	result.response, result.body = response, body
	f.judge(&result, j, answer)
	if answer.WrongServer {
		f.adopter.replaced(server, answer.Server)
	}
	if answer.WrongServer || errors.Is(result.err, errForeignAnswer) || ctx.Err() != nil {
		conn.Close()
	} else {
		f.pool.Put(server.ID, conn, response)
	}
	return result
}

// judge decides whether a complete answer can be passed on.
func (f *Forwarder) judge(result *callResult, j *job, answer message.Answer) {
	promise := result.response.Status == 429 || result.response.Status == 503 || result.response.Status == 408 || result.response.Status == 421
	switch {
	case answer.RequestID != "" && answer.RequestID != j.request.ID:
		result.code, result.err = fault.UpstreamBroken, errForeignAnswer
	case answer.NotRun:
		result.notRun, result.code, result.err = true, fault.UpstreamRejected, fault.New(fault.UpstreamRejected, "status "+strconv.Itoa(result.response.Status))
	case promise:
		result.code, result.err = fault.UpstreamBroken, errFalsePromise
	case !answer.Signed || answer.RequestID == "":
		result.code, result.err = fault.UpstreamBroken, errUnsigned
	case answer.Encoded:
		result.code, result.err = fault.UpstreamBroken, errEncoded
	}
}

// broken returns the result of an exchange that failed and gives its
// connection up.
func (f *Forwarder) broken(conn *upstream.Conn, result callResult, err error) callResult {
	conn.Close()
	result.code, result.err = fault.UpstreamBroken, err
	if upstream.IsTimeout(err) {
		result.code = fault.UpstreamTimeout
	}
	if result.notRun {
		result.code = fault.UpstreamUnreachable
	}
	return result
}

// noteCall tells the ledger how an attempt ended.
func (f *Forwarder) noteCall(result *callResult) {
	if result.code == fault.UpstreamUnreachable && !errors.Is(result.err, upstream.ErrNoTime) {
		f.unreachable(result.server, result.err)
	}
	f.selector.update(func(ledger *placement.Ledger, now time.Time) {
		ledger.CallEnded(now, result.started, result.server.ID, !result.usable() || result.failedAnswer())
	})
	if !result.usable() {
		f.meters.attemptFailed(result.code)
	}
}
