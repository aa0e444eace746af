package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	// peerCheckInterval is the silence after which a peer that serves a stream is checked, and the time between
	// two checks. The peer itself judges the silence of its server.
	peerCheckInterval = 500 * time.Millisecond
	// peerCheckTimeout bounds the opening of a connection to a peer, and its answer to a check.
	peerCheckTimeout = 250 * time.Millisecond
	// maxMissedChecks is the number of checks in a row that a peer may miss.
	maxMissedChecks = 2
)

// errSilentPeer means that a peer neither sends a part of the stream nor answers checks.
var errSilentPeer = fault.New(fault.UpstreamBroken, "the peer does not answer")

// relayDestination returns a peer to which the stream is handed, and the reason; the reason is empty when a
// server of this instance can be expected to take the stream. Without a peer, the destination has no server.
func (r *streamRun) relayDestination() (destination, relayReason) {
	failure := r.lastResult.code
	if r.relays > 0 {
		failure = fault.UpstreamUnreachable
	}
	reason := r.f.withoutServers(r.j, failure)
	if reason == "" {
		return destination{}, ""
	}
	return r.chooseRelay(reason), reason
}

// chooseRelay returns a peer to which the stream is handed; without one, the destination has no server.
func (r *streamRun) chooseRelay(reason relayReason) destination {
	unknownVersion := r.binding.bound && r.binding.version == ""
	if r.j.relayed != nil || unknownVersion || r.relays >= maxRelays || r.usedAttempts() >= r.j.route.Attempts {
		return destination{}
	}
	next := r.f.relays.choose(r.j.service, r.j.hasFailed)
	if next == nil {
		return destination{}
	}
	next.reason = reason
	return destination{server: &next.peer, hop: next}
}

// newRelay returns an attempt that hands the stream to a peer.
func (r *streamRun) newRelay(to destination) *streamAttempt {
	to.hop.attempts = hopAttempts(r.j.route.Attempts, r.usedAttempts())
	r.j.sends++
	r.relays++
	r.cacheCopyServer = nil
	r.f.logRelayed(r.j, to.hop, to.hop.reason, r.events.position)
	return &streamAttempt{run: r, server: to.server, hop: to.hop}
}

// leavesBinding reports whether it is left to a peer to find the software version of a stream that its client resumes,
// because the engines can't be asked from here.
func (r *streamRun) leavesBinding() bool {
	resumes := r.j.request.Position > 0 || r.j.request.FirstAttempt != ""
	return resumes && r.j.relayed == nil && r.j.origin.source == "" && r.f.relays.enabled() && r.f.selector.cutOff(r.j.service)
}

// usedAttempts returns the number of servers that count as those that may have run the request.
func (r *streamRun) usedAttempts() int {
	return len(r.mayHaveRunAt) + r.ranAtPeers + r.j.usedAttempts()
}

// relayedRun returns the server that may still run a stream which a peer has handed over, and that may go on with it;
// nil for none. At another server it would run twice, because the first one does not notice that the peer's connection is cut.
func (r *streamRun) relayedRun() *directory.Server {
	if r.j.relayed == nil || r.j.relayed.RunsAt == "" || !r.j.route.Resumable {
		return nil
	}
	return r.continuableAt(r.f.directory.Snapshot().Find(r.j.relayed.RunsAt))
}

// startRelay sends the request to the peer. It returns the result of an attempt that failed, else nil.
func (a *streamAttempt) startRelay(ctx context.Context) *streamResult {
	r := a.run
	conn, err := r.f.relays.pool.Open(ctx, a.server.ID, a.server.Address, connectTimeout, false)
	a.receivedAt = time.Now()
	if err != nil {
		return &streamResult{notRun: true, code: fault.UpstreamUnreachable, err: err}
	}
	a.conn, a.stopClosing = conn, context.AfterFunc(ctx, conn.Close)
	relayed := r.j.relayMessage(r.f.relays.instance, max(0, r.j.route.Attempts-a.hop.attempts))
	relayed.Version, relayed.Position, relayed.Resume = r.binding.version, r.events.position, r.events.positionKnown
	relayed.RunsAt = r.lastRunAt
	a.sentAt = time.Now()
	head := r.f.protocol.AppendRelay(make([]byte, 0, 1024), r.j.exchange.Head, len(r.j.exchange.Body), relayed)
	if sent, err := conn.Send(head, r.j.exchange.Body); err != nil {
		return &streamResult{notRun: !sent, code: fault.UpstreamBroken, err: err}
	}
	return nil
}

// checkRelay keeps the head of a server's answer that the peer forwards. It returns the result of an attempt whose
// answer is the peer's own or can't be forwarded, else nil.
func (a *streamAttempt) checkRelay(response *http1.Response) *streamResult {
	checked := callResult{server: a.server, response: response}
	a.run.f.checkRelayed(&checked, a.run.j, response)
	if !checked.usable() {
		a.run.relayRetryAfter = checked.retryAfter
		return &streamResult{notRun: checked.notRun, code: checked.code, err: checked.err}
	}
	answer := a.run.f.protocol.ParseRelayAnswer(response)
	a.server.SoftwareVersion = answer.Version
	if answer.Server != "" {
		// The peer keeps the run while it doesn't notice that the path between the two is silent.
		a.run.lastRunAt = answer.Server
	}
	a.response = response
	a.receivedAt = time.Now()
	return nil
}

// awaitPeer is awaitData for a stream that a peer serves: it waits while the peer answers checks.
func (a *streamAttempt) awaitPeer(ctx context.Context, read func() error) error {
	for missed := 0; ; {
		if err := a.conn.SetReadDeadline(time.Now().Add(peerCheckInterval)); err != nil {
			return err
		}
		err := read()
		if err == nil || !upstream.IsReadTimeout(err) || ctx.Err() != nil {
			return err
		}
		missed++
		if a.run.f.relays.answers(ctx, &a.hop.peer) {
			missed = 0
		}
		if missed >= maxMissedChecks {
			return errSilentPeer
		}
	}
}

// answers reports whether a peer answers on its relay address.
func (r *relays) answers(ctx context.Context, peer *directory.Server) bool {
	conn, err := r.pool.Open(ctx, peer.ID, peer.Address, peerCheckTimeout, false)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := conn.Send([]byte(relayCheckMethod+" / HTTP/1.1\r\nHost: "+peer.Address+"\r\n\r\n"), nil); err != nil {
		return false
	}
	if err := conn.SetReadDeadline(time.Now().Add(peerCheckTimeout)); err != nil {
		return false
	}
	_, err = conn.ReadHead(relayCheckMethod)
	return err == nil
}

// endRelay ends an attempt of a peer and logs its failure.
func (a *streamAttempt) endRelay(ctx context.Context, result *streamResult) {
	r := a.run
	a.hop.end()
	if result.complete || result.finalAnswer != nil || ctx.Err() != nil {
		return
	}
	if !result.notRun {
		r.ranAtPeers += a.hop.attempts - 1
	}
	if !errors.Is(result.err, errClientWrite) {
		r.f.logRelayFailed(r.j, a.hop, result.code, result.notRun, result.err)
	}
}
