package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// relayReason is why a request is handed to a peer.
type relayReason string

const (
	// relayCutOff: this instance reaches no server of the service.
	relayCutOff relayReason = "cut_off"
	// relayUnreachable: a server could not be reached, and all others are avoided.
	relayUnreachable relayReason = "unreachable"
)

var errRelayRefused = fault.New(fault.UpstreamUnreachable, "the peer did not run the request")

// withoutServers returns why no server can be expected to take a request after the given failure, empty for the
// first attempt; the result is empty when one can.
func (f *Forwarder) withoutServers(j *job, failure fault.Code) relayReason {
	if j.relayed == nil && !f.relays.enabled() {
		return ""
	}
	switch {
	case f.selector.cutOff(j.service):
		return relayCutOff
	case failure == fault.UpstreamUnreachable && !f.selector.reachable(j.service, j.hasFailed):
		return relayUnreachable
	}
	return ""
}

// takeSecondSend reports whether a call may be sent again after a failure. One of which nothing was sent takes
// nothing of the bound on second sends.
func (r *callRun) takeSecondSend(failure *callResult) bool {
	return unsent(failure.code) || r.f.selector.takeSecondSend(r.j.request.ID, r.j.service)
}

// relay hands the call to a peer and reports whether there is one.
func (r *callRun) relay(ctx context.Context, reason relayReason) bool {
	used := r.j.sends - r.notRunAttempts
	if r.j.relayed != nil || r.relays >= maxRelays || used >= r.j.route.Attempts {
		return false
	}
	next := r.f.relays.choose(r.j.service, r.j.hasFailed)
	if next == nil {
		return false
	}
	next.attempts = hopAttempts(r.j.route.Attempts, used)
	relayed := r.j.relayMessage(r.f.relays.instance, r.j.route.Attempts-next.attempts)
	r.j.failedServers = append(r.j.failedServers, next.peer.ID)
	r.j.sends += next.attempts
	r.relays++
	r.pending++
	r.f.logRelayed(r.j, next, reason, 0)
	go func() {
		defer next.end()
		result := callResult{server: &next.peer, started: time.Now(), code: fault.Internal, err: errPanicked}
		r.f.guard.Run("attempt", func() { result = r.f.relayCall(ctx, r.j, next, relayed) })
		result.hop = next
		r.results <- result
	}()
	return true
}

// hopAttempts returns to how many servers a peer may send a request: half of the remaining attempts, so that the
// request can go on when the hop breaks.
func hopAttempts(attempts, used int) int { return max(1, (attempts-used+1)/2) }

func (f *Forwarder) logRelayed(j *job, next *hop, reason relayReason, position uint64) {
	f.meters.count("relay.sent")
	event.Log(f.logger, event.RequestRelayed).Str("request", j.request.ID).Str("peer", next.peer.ID).Str("data_centre", next.peer.DataCentre).
		Str("reason", string(reason)).Uint64("position", position).Int("attempts", next.attempts).Dur("left_ms", j.remaining()).Send()
}

func (f *Forwarder) logRelayFailed(j *job, next *hop, code fault.Code, notRun bool, cause error) {
	if !notRun {
		f.meters.count("relay.broken")
	}
	event.Log(f.logger, event.RelayFailed).Str("request", j.request.ID).Str("peer", next.peer.ID).Str("code", string(code)).
		Bool("not_run", notRun).Dur("after_ms", time.Since(j.exchange.Received)).AnErr("cause", cause).Send()
}

// relayCall hands a call to a peer and reads its answer.
func (f *Forwarder) relayCall(ctx context.Context, j *job, next *hop, relayed message.Relay) callResult {
	result := callResult{server: &next.peer, started: time.Now()}
	conn, err := f.relays.pool.Open(ctx, next.peer.ID, next.peer.Address, connectTimeout, false)
	if err != nil {
		result.notRun, result.code, result.err = true, fault.UpstreamUnreachable, err
		return result
	}
	stopClosing := context.AfterFunc(ctx, conn.Close)
	defer stopClosing()
	sent, err := conn.Send(f.protocol.AppendRelay(make([]byte, 0, 1024), j.exchange.Head, len(j.exchange.Body), relayed), j.exchange.Body)
	result.notRun = !sent
	if err == nil {
		err = conn.SetReadDeadline(j.deadline.Add(answerMargin))
	}
	if err != nil {
		return f.failedExchange(conn, result, err)
	}
	response, err := conn.ReadHead(j.exchange.Head.Method)
	if err != nil {
		return f.failedExchange(conn, result, err)
	}
	memory := j.answers.part()
	body, err := conn.Body(response).ReadAllReserving(maxAnswerBytes, memory.grow)
	if err != nil {
		memory.release()
		return f.failedExchange(conn, result, err)
	}
	conn.Close()
	result.response, result.body = response, body
	f.checkRelayed(&result, j, response)
	return result
}

// checkRelayed sets the failure of a result if the answer is the peer's own or can't be forwarded.
func (f *Forwarder) checkRelayed(result *callResult, j *job, response *http1.Response) {
	relayAnswer := f.protocol.ParseRelayAnswer(response)
	switch {
	case relayAnswer.NotRun:
		result.notRun, result.code, result.err = true, fault.UpstreamUnreachable, errRelayRefused
		result.retryAfter = relayAnswer.RetryAfter
		f.meters.count("relay.refused_by_peer")
	case relayAnswer.Server == "" && response.Status == 504:
		result.code, result.err = fault.UpstreamTimeout, errRelayTimeout
	case relayAnswer.Server == "":
		result.code, result.err = fault.UpstreamBroken, errUnsigned
	default:
		f.checkAnswer(result, j, f.protocol.ParseAnswer(response))
	}
}

var errRelayTimeout = fault.New(fault.UpstreamTimeout, "the peer got no answer in time")

// handleRelayed processes the end of a hop and reports whether the call was answered.
func (r *callRun) handleRelayed(ctx context.Context, result *callResult) bool {
	if result.usable() {
		r.f.forwardAnswer(r.j, result)
		return true
	}
	r.f.logRelayFailed(r.j, result.hop, result.code, result.notRun, result.err)
	r.lastFailure = *result
	if result.notRun {
		r.j.sends -= result.hop.attempts
	} else {
		r.mayHaveRun = true
	}
	if r.maySendAgain(result) && r.takeSecondSend(result) && r.send(ctx) {
		return false
	}
	if r.pending > 0 {
		return false
	}
	r.fail()
	return true
}
