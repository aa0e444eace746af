package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

// streamAttempt is one attempt of a stream at one server.
type streamAttempt struct {
	run    *streamRun
	server *directory.Server
	// again is set when the server had this stream before and only its
	// connection broke.
	again bool
	// copyTo keeps a copy of this attempt's KV cache.
	copyTo *directory.Server
	conn   *upstream.Conn
	// sent is when the request was sent, heard when the server last sent
	// something.
	sent    time.Time
	heard   time.Time
	cadence suspicion.IntervalEstimator
	// waiting is set until the first event.
	waiting bool
	load    placement.Load
}

var errClientWrite = fault.New(fault.CallerTooSlow, "the client does not take the answer")

// attempt sends the request to one server and passes its events on. found is
// false when there is no server.
func (r *streamRun) attempt(ctx context.Context) (result streamResult, found bool) {
	a := &streamAttempt{run: r, waiting: true}
	fromCopy := r.sameAgain == nil && r.copyAt != nil
	var choice placement.Choice
	switch {
	case r.sameAgain != nil:
		a.server, r.sameAgain, a.again = r.sameAgain, nil, true
	case fromCopy:
		a.server, r.copyAt = r.copyAt, nil
	default:
		a.server, choice = r.f.selector.forGeneration(r.service, r.size, r.j.hasFailed)
		if a.server == nil {
			return streamResult{code: fault.NoServer}, false
		}
	}
	switch {
	case r.service.Engine == nil || !r.service.Engine.CopiesCache || !r.j.route.Resumable:
	case a.again && r.copyAt != nil:
		a.copyTo = r.copyAt
	default:
		a.copyTo = r.f.selector.forCopy(r.service, r.size, a.server)
	}
	r.j.sends++
	a.logSent(choice, fromCopy)
	a.charge(fromCopy)
	defer a.discharge()
	result = a.exchange(ctx, fromCopy)
	result.server = a.server
	if !result.complete && result.answered == nil && ctx.Err() == nil {
		a.failed(&result, fromCopy)
	}
	return result, true
}

// charge counts the attempt in the load of its servers.
func (a *streamAttempt) charge(fromCopy bool) {
	a.load = placement.Load{Requests: 1, PrefillTokens: a.run.size.PromptTokens, MemoryTokens: a.run.size.MemoryTokens}
	if fromCopy || a.again {
		a.load.PrefillTokens = 0
	}
	a.run.f.selector.update(func(ledger *placement.Ledger, _ time.Time) {
		ledger.Add(a.server.ID, a.load)
		if a.copyTo != nil {
			ledger.Add(a.copyTo.ID, placement.Load{MemoryTokens: a.run.size.MemoryTokens})
		}
	})
}

func (a *streamAttempt) discharge() {
	a.run.f.selector.update(func(ledger *placement.Ledger, _ time.Time) {
		ledger.Add(a.server.ID, a.load.Negative())
		if a.copyTo != nil {
			ledger.Add(a.copyTo.ID, placement.Load{MemoryTokens: -a.run.size.MemoryTokens})
		}
	})
}

// failed notes an attempt that did not reach the end of the stream. The copy
// that it made is used next; there is none before the first event.
func (a *streamAttempt) failed(result *streamResult, fromCopy bool) {
	r := a.run
	if !result.notRun && r.delivered > 0 && a.copyTo != nil {
		// The copy went to an address: a server that restarted there under
		// another id may hold it.
		r.copyAt = r.goesOnAt(r.f.directory.Snapshot().FindByAddress(a.copyTo.Address))
	}
	if a.connectionBroke(result) {
		r.retry(a.server)
	}
	silent := result.code == fault.UpstreamUnreachable || result.code == fault.UpstreamTimeout
	if result.wrongServer {
		r.f.adopter.replaced(a.server, result.answeredBy)
	} else if r.sameAgain != nil || errors.Is(result.err, upstream.ErrNoTime) {
		// The server may be well: what becomes of the next connection tells.
	} else if silent || (result.code == fault.UpstreamBroken && !errors.Is(result.err, errFalsePromise)) {
		r.f.unreachable(a.server, result.err)
	}
	r.f.meters.attemptFailed(result.code)
	r.f.failedLine(r.j, a.server, result.code, result.notRun, result.err).Bool("from_copy", fromCopy).
		Uint64("position", r.events.position).Bool("has_copy", r.copyAt != nil).
		Dur("silent_ms", time.Since(a.heard)).Dur("after_ms", time.Since(r.j.exchange.Received)).Send()
}

// exchange sends the request and reads the answer.
func (a *streamAttempt) exchange(ctx context.Context, fromCopy bool) streamResult {
	r := a.run
	timeout := connectTimeout
	if a.again {
		timeout = againTimeout
	}
	conn, err := r.f.pool.Open(ctx, a.server.ID, a.server.Address, timeout, false)
	a.heard = time.Now()
	if err != nil {
		return streamResult{notRun: true, code: fault.UpstreamUnreachable, err: err}
	}
	a.conn = conn
	defer conn.Close()
	cut := context.AfterFunc(ctx, conn.Close)
	defer cut()
	dispatch := message.Dispatch{
		Server: a.server.ID, Account: r.j.account, Remaining: r.j.remaining(),
		Position: r.events.position, Resume: r.j.sends > 1,
		// Without a copy the prompt is read again and the pause is too long
		// already.
		LowPriority: r.events.checked && !fromCopy && !a.again,
	}
	if a.copyTo != nil {
		dispatch.CopyTo = a.copyTo.Address
	}
	if fromCopy {
		dispatch.CopyAt = a.server.Address
	}
	head := r.f.protocol.AppendRequest(make([]byte, 0, 1024), r.j.exchange.Head, len(r.j.exchange.Body), dispatch)
	a.sent = time.Now()
	if sent, err := conn.Send(head, r.j.exchange.Body); err != nil {
		return streamResult{notRun: !sent, code: fault.UpstreamBroken, err: err}
	}
	if err := a.wait(ctx, conn.WaitHead); err != nil {
		return streamResult{code: failureCode(err), err: err}
	}
	if err := conn.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
		return streamResult{code: fault.UpstreamBroken, err: err}
	}
	response, err := conn.ReadHead(r.j.exchange.Head.Method)
	if err != nil {
		return streamResult{code: failureCode(err), err: err}
	}
	return a.receive(ctx, response)
}

// connectionBroke reports whether the attempt ended with its connection while
// the server showed no other sign of trouble.
func (a *streamAttempt) connectionBroke(result *streamResult) bool {
	return result.code == fault.UpstreamBroken && (errors.Is(result.err, syscall.ECONNRESET) || errors.Is(result.err, io.ErrUnexpectedEOF))
}

// againTimeout bounds the connection to a server whose last one broke: it just
// sent a reset, so that it answers at once or not at all.
const againTimeout = 150 * time.Millisecond

// headTimeout bounds the rest of an answer's head once it began.
const headTimeout = time.Second

// failureCode tells silence from a broken connection.
func failureCode(err error) fault.Code {
	if upstream.IsTimeout(err) {
		return fault.UpstreamTimeout
	}
	return fault.UpstreamBroken
}

// logSent notes where an attempt goes and why.
func (a *streamAttempt) logSent(choice placement.Choice, fromCopy bool) {
	r := a.run
	line := r.f.sentLine(r.j, a.server).Bool("from_copy", fromCopy)
	if !fromCopy {
		line = line.Dur("expected_ms", choice.Wait).Int("running", choice.Load.Requests).
			Int("waiting_tokens", choice.Load.PrefillTokens).Int("memory_tokens", choice.Load.MemoryTokens).
			Str("preferred", choice.AffinityServer).Uint64("position", r.events.position)
	}
	if a.copyTo != nil {
		line = line.Str("copy_to", a.copyTo.ID)
	}
	line.Send()
}
