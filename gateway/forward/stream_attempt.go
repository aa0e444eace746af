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
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// streamAttempt is one attempt of a stream at one server.
type streamAttempt struct {
	run    *streamRun
	server *directory.Server
	// fromCopy is set when the stream resumes from the server's KV cache copy.
	fromCopy bool
	// reconnecting is set when the server ran this stream before and only the
	// connection broke.
	reconnecting bool
	// cacheCopyServer holds the KV cache copy of this attempt; nil for none.
	cacheCopyServer *directory.Server
	// conn is nil until it is open; stopClosing ends its closing with the request's context.
	conn        *upstream.Conn
	stopClosing func() bool
	// response is the head of an answer that can be forwarded, nil until it was received.
	response *http1.Response
	// sentAt is when the request was sent, receivedAt when the head or an event was last
	// received from the server, at first the end of the connection attempt.
	sentAt         time.Time
	receivedAt     time.Time
	eventIntervals suspicion.IntervalEstimator
	// checkAt is when the server is checked unless it sends an event before; zero when not set yet. checkBegun is
	// set when the check of its liveness for that time has begun.
	checkAt    time.Time
	checkBegun bool
	// checkedBytes is the number of received bytes at the last event or check, fragmentsSince the
	// first check that found bytes without an event; zero for none.
	checkedBytes   int64
	fragmentsSince time.Time
	// runsSince is when the first of the latest checks without a break found that the server answers,
	// serverAnsweredAt when the last one did; zero for none.
	runsSince        time.Time
	serverAnsweredAt time.Time
	// headBegun is set when the first bytes of the answer's head were received.
	headBegun bool
	// firstEventAt is when the first event came; zero until then.
	firstEventAt time.Time
	// ranClean is set when the run was recorded as one without a crash.
	ranClean bool
	// waiting is set once the server was silent and no other could take over.
	waiting bool
	// triedLoss is set once the stream was to leave because its data centre was found lost.
	triedLoss bool
	load      placement.Load
	// pace gathers the intervals between events. readsAlone is set when no other prompt was known to be read at the server
	// when the attempt began.
	pace       streamPace
	readsAlone bool
	// measured compares software versions while the service moves to another one.
	measured *rollouts.Attempt
	// hop is set when the stream is handed to a peer; server is the peer then, with the software version of its server.
	hop *hop
}

var errClientWrite = fault.New(fault.CallerTooSlow, "the client does not read the answer")

// attempt sends the request to a server and forwards its events; found is false if
// there is none, or none at which the stream can end in time. A successor that has
// taken the stream over already is continued with.
func (r *streamRun) attempt(ctx context.Context) (result streamResult, found bool) {
	if a := r.successor; a != nil {
		r.successor = nil
		return a.complete(ctx, true), true
	}
	to, failure := r.nextDestination()
	if to.server == nil {
		return failure, false
	}
	return r.newAttempt(to).complete(ctx, false), true
}

// complete runs an attempt, which may have been started, to its end. At a panic the connection and the load are released.
func (a *streamAttempt) complete(ctx context.Context, started bool) streamResult {
	panicked := true
	defer func() {
		if panicked {
			a.abandon()
		}
	}()
	var failure *streamResult
	if !started {
		failure = a.start(ctx)
	}
	var result streamResult
	if failure != nil {
		result = a.end(ctx, *failure)
	} else {
		result = a.end(ctx, a.proceed(ctx))
	}
	panicked = false
	return result
}

// abandon releases the connection and the load of an attempt that an unexpected error ended.
func (a *streamAttempt) abandon() {
	if a.conn != nil {
		a.stopClosing()
		a.conn.Close()
	}
	if a.hop != nil {
		a.hop.end()
		return
	}
	a.removeLoad()
}

// newAttempt returns an attempt at a server, and counts it.
func (r *streamRun) newAttempt(to destination) *streamAttempt {
	if to.hop != nil {
		return r.newRelay(to)
	}
	a := &streamAttempt{run: r, server: to.server, fromCopy: to.fromCopy, reconnecting: to.reconnecting}
	a.readsAlone = to.choice.ID != "" && to.choice.Load.PrefillTokens == 0
	switch {
	case r.service.Engine == nil || !r.service.Engine.CopiesCache || !r.j.route.Resumable:
	case a.reconnecting && r.cacheCopyServer != nil:
		a.cacheCopyServer = r.cacheCopyServer
	default:
		a.cacheCopyServer = r.f.selector.chooseForCopy(r.service, r.size, a.server)
	}
	a.measured = r.f.rollouts.Begin(a.server, r.j.route.Name, true, r.j.sends == 0 && r.j.relayed == nil)
	r.j.sends++
	if to.choice.ID == "" {
		r.f.selector.recordUnchosenSend(a.server)
	}
	a.logSent(to)
	a.addLoad()
	r.releaseGranted()
	return a
}

// awaitsFirstEvent reports whether the server has not sent an event yet.
func (a *streamAttempt) awaitsFirstEvent() bool { return a.firstEventAt.IsZero() }

// end closes the connection of an attempt, and handles its failure. It returns its result.
func (a *streamAttempt) end(ctx context.Context, result streamResult) streamResult {
	if a.conn != nil {
		a.stopClosing()
		a.conn.Close()
	}
	result.server = a.server
	if a.hop != nil {
		a.endRelay(ctx, &result)
		return result
	}
	a.removeLoad()
	a.measured.End(evidenceOfStream(&result, ctx.Err()))
	a.recordRun(ctx, &result)
	if !result.complete && result.finalAnswer == nil && ctx.Err() == nil {
		a.handleFailure(&result)
	}
	return result
}

// addLoad adds the attempt to the load of its servers.
func (a *streamAttempt) addLoad() {
	a.load = placement.Load{Requests: 1, PrefillTokens: a.run.size.PromptTokens, MemoryTokens: a.run.size.MemoryTokens}
	if a.server.ID == a.run.size.CachedAt {
		a.load.PrefillTokens -= a.run.size.CachedTokens
	}
	if a.fromCopy || a.reconnecting {
		a.load.PrefillTokens = 0
	}
	a.run.f.selector.withLedger(func(ledger *placement.Ledger, _ time.Time) {
		ledger.Add(a.server.ID, a.load)
		a.run.f.selector.rejections.Started(a.server.ID)
		if a.cacheCopyServer != nil {
			ledger.Add(a.cacheCopyServer.ID, placement.Load{MemoryTokens: a.run.size.MemoryTokens})
		}
	})
}

func (a *streamAttempt) removeLoad() {
	a.run.f.selector.withLedger(func(ledger *placement.Ledger, _ time.Time) {
		ledger.Add(a.server.ID, a.load.Negative())
		if a.cacheCopyServer != nil {
			ledger.Add(a.cacheCopyServer.ID, placement.Load{MemoryTokens: -a.run.size.MemoryTokens})
		}
	})
}

// handleFailure handles an attempt that did not reach the end of the stream. The
// KV cache copy that it made is used next; there is none before the first event.
func (a *streamAttempt) handleFailure(result *streamResult) {
	r := a.run
	if !result.notRun {
		r.cacheCopyServer = a.copyHolder()
	}
	if a.connectionBroke(result) && !errors.Is(result.err, errClientWrite) {
		r.allowReconnect(a)
	}
	silent := result.code == fault.UpstreamUnreachable || result.code == fault.UpstreamTimeout
	if result.wrongServer {
		r.f.adopter.handleReplacement(a.server, result.answeredBy)
	} else if r.reconnectServer != nil || errors.Is(result.err, upstream.ErrNoTime) || a.unread(result) {
		// The server may still work: the next connection attempt shows it.
	} else if silent || (result.code == fault.UpstreamBroken && !errors.Is(result.err, errNotRunUnconfirmed)) {
		r.f.recordUnreachable(a.server, result.err)
	}
	r.f.meters.attemptFailed(result.code)
	r.f.attemptFailedEvent(r.j, a.server, result.code, result.notRun, result.err).Bool("from_copy", a.fromCopy).
		Uint64("position", r.events.position).Bool("has_copy", r.cacheCopyServer != nil).
		Dur("silent_ms", time.Since(a.receivedAt)).Dur("after_ms", time.Since(r.j.exchange.Received)).Send()
}

// start sends the request. It returns the result of an attempt that failed, else nil.
func (a *streamAttempt) start(ctx context.Context) *streamResult {
	if a.hop != nil {
		return a.startRelay(ctx)
	}
	r := a.run
	timeout := connectTimeout
	if a.reconnecting {
		timeout = reconnectTimeout
	}
	conn, err := r.f.openFor(ctx, r.j, a.server, timeout, false, a.takes)
	a.receivedAt = time.Now()
	if err != nil {
		return &streamResult{notRun: true, code: unopenedCode(err), err: err}
	}
	a.conn, a.stopClosing = conn, context.AfterFunc(ctx, conn.Close)
	a.checkedBytes = conn.Received()
	dispatch := message.Dispatch{
		Server: a.server.ID, Account: r.j.account, Remaining: r.j.remaining(),
		Position: r.events.position, Resume: r.j.sends > 1, Urgency: a.urgency(),
	}
	if a.cacheCopyServer != nil {
		dispatch.CopyTo = a.cacheCopyServer.Address
	}
	if a.fromCopy {
		dispatch.CopyAt = a.server.Address
	}
	head := r.f.protocol.AppendRequest(make([]byte, 0, 1024), r.j.exchange.Head, len(r.j.exchange.Body), dispatch)
	a.sentAt = time.Now()
	if sent, err := conn.Send(head, r.j.exchange.Body); err != nil {
		return &streamResult{notRun: !sent, code: fault.UpstreamBroken, err: err}
	}
	r.lastRunAt = a.server.ID
	return nil
}

// takes reports whether the server, by its current entry, takes the stream: one that has just begun to drain takes one that
// goes on there.
func (a *streamAttempt) takes(listed *directory.Server) bool {
	return takesNew(listed) || (a.run.binding.bound || a.reconnecting) && listed.AcceptsResumption(time.Now())
}

// proceed reads the answer and forwards it.
func (a *streamAttempt) proceed(ctx context.Context) streamResult {
	if a.response == nil {
		if err := a.awaitData(ctx, a.conn.WaitHead); err != nil {
			return streamResult{code: failureCode(err), err: err}
		}
		response, err := a.readHead(ctx)
		if err != nil {
			return streamResult{code: failureCode(err), err: err}
		}
		if failure := a.check(response); failure != nil {
			return *failure
		}
	}
	return a.receive(ctx)
}

// readHead reads the head of the answer, whose first bytes were received. It returns errNoEvent when bytes come
// throughout headTimeout and one more check without completing the head.
func (a *streamAttempt) readHead(ctx context.Context) (*http1.Response, error) {
	a.headBegun = true
	fragments := 0
	for timeout := headTimeout; ; timeout = waitingCheckInterval {
		received := a.conn.Received()
		if err := a.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return nil, err
		}
		response, err := a.conn.ReadHead(a.run.j.exchange.Head.Method)
		if !upstream.IsReadTimeout(err) || ctx.Err() != nil {
			return response, err
		}
		if a.conn.Received() > received {
			if fragments++; fragments > 1 {
				return nil, errNoEvent
			}
			a.runsSince = time.Time{}
			continue
		}
		fragments = 0
		evidence := a.evidenceToLeave(ctx, err, timeout)
		if ctx.Err() != nil || (evidence != "" && a.leave(ctx, err, evidence)) {
			return nil, err
		}
	}
}

// connectionBroke reports whether the attempt ended because its connection was
// reset or closed, without another sign that the server failed.
func (a *streamAttempt) connectionBroke(result *streamResult) bool {
	return result.code == fault.UpstreamBroken && (errors.Is(result.err, syscall.ECONNRESET) || errors.Is(result.err, io.ErrUnexpectedEOF))
}

// reconnectTimeout bounds the opening of a connection to a server whose last one
// broke: it has just sent a reset, so that it answers at once or not at all.
const reconnectTimeout = 150 * time.Millisecond

// headTimeout is the time from the first byte of an answer's head to its end after which the
// stream goes to another server, if one may take over.
const headTimeout = time.Second

// failureCode returns UpstreamTimeout for an expired read deadline, AnswerMemoryFull for an answer
// that finds no memory, otherwise UpstreamBroken.
func failureCode(err error) fault.Code {
	if errors.Is(err, errAnswersFull) {
		return fault.AnswerMemoryFull
	}
	if upstream.IsTimeout(err) {
		return fault.UpstreamTimeout
	}
	return fault.UpstreamBroken
}

// logSent logs the server of an attempt and the values that led to its choice.
func (a *streamAttempt) logSent(to destination) {
	r, choice := a.run, to.choice
	line := r.f.requestSentEvent(r.j, a.server).Bool("from_copy", to.fromCopy)
	if !to.fromCopy {
		line = line.Dur("expected_ms", choice.Wait).Int("running", choice.Load.Requests).
			Int("waiting_tokens", choice.Load.PrefillTokens).Int("memory_tokens", choice.Load.MemoryTokens).
			Float64("work", choice.ProduceWork).Str("preferred", choice.AffinityServer).Str("cached_at", r.size.CachedAt).Int("cached_tokens", r.size.CachedTokens).Uint64("position", r.events.position)
	}
	if a.cacheCopyServer != nil {
		line = line.Str("copy_to", a.cacheCopyServer.ID)
	}
	line.Send()
}
