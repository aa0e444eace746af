package forward

import (
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// destination is the server of one attempt of a stream, and how it was chosen.
type destination struct {
	server *directory.Server
	// choice holds the values that led to the server; zero when it was not chosen by cost.
	choice placement.Choice
	// fromCopy is set when the stream resumes from the server's KV cache copy.
	fromCopy bool
	// reconnecting is set when the server ran this stream before and only the
	// connection broke.
	reconnecting bool
}

var errTooLate = fault.New(fault.TooLittleTime, "the prompt can't be read and the rest sent in the remaining time")

// nextDestination returns the server of the next attempt. Without one, the result holds the reason.
func (r *streamRun) nextDestination() (destination, streamResult) {
	reserved, reconnect, holder := r.reserved, r.reconnectServer, r.cacheCopyServer
	switch {
	case reserved != nil:
		r.reserved, r.cacheCopyServer = nil, nil
		return *reserved, streamResult{}
	case reconnect != nil:
		r.reconnectServer = nil
		return destination{server: reconnect, reconnecting: true}, streamResult{}
	case holder != nil:
		r.cacheCopyServer = nil
		return destination{server: holder, fromCopy: true}, streamResult{}
	}
	return r.chooseDestination(r.j.hasFailed)
}

// chooseDestination chooses a server by cost; one for which skip returns true only when there are
// no others.
func (r *streamRun) chooseDestination(skip func(id string) bool) (destination, streamResult) {
	server, choice := r.f.selector.chooseForGeneration(r.service, r.size, r.binding, skip)
	if server == nil && r.binding.bound {
		return destination{}, streamResult{code: fault.SoftwareVersionUnavailable}
	}
	if server == nil {
		return destination{}, streamResult{code: fault.NoServer}
	}
	if !r.fits(choice.MinReadTokens) {
		return destination{}, streamResult{code: fault.TooLittleTime, err: errTooLate}
	}
	return destination{server: server, choice: choice}, streamResult{}
}

// leave reports whether the stream of a silent server continues at another one, and reserves that
// server and the second send. Otherwise the silent server is waited for until its connection fails
// or the request's deadline passes: it may continue, and nothing else completes the answer.
func (a *streamAttempt) leave(cause error) bool {
	to, reason := a.successor()
	if reason == "" {
		a.run.reserved = &to
		return true
	}
	if !a.waiting {
		a.waiting = true
		a.run.f.recordUnreachable(a.server, cause)
		event.Log(a.run.f.logger, event.SilentServerAwaited).Str("request", a.run.j.request.ID).Str("server", a.server.ID).
			Str("reason", string(reason)).Uint64("position", a.run.events.position).Dur("silent_ms", time.Since(a.receivedAt)).Send()
	}
	return false
}

// successor returns the server at which the stream of a silent server continues, after taking a
// second send for it, or the reason why there is none.
func (a *streamAttempt) successor() (destination, endReason) {
	r := a.run
	ranElsewhere := len(r.mayHaveRunAt)
	if r.mayHaveRunAt[a.server.ID] {
		ranElsewhere--
	}
	switch {
	case r.j.remaining() < minSendTime || !r.canEndInTime():
		return destination{}, endTooLittleTime
	case !r.j.route.Resumable:
		return destination{}, endNotResumable
	case ranElsewhere+1 >= r.j.route.Attempts:
		return destination{}, endAttempts
	}
	to := destination{server: a.copyHolder(), fromCopy: true}
	if to.server == nil {
		left := func(id string) bool { return id == a.server.ID || r.j.hasFailed(id) }
		chosen, failure := r.chooseDestination(left)
		if errors.Is(failure.err, errTooLate) {
			return destination{}, endTooLittleTime
		}
		if chosen.server == nil || left(chosen.server.ID) {
			return destination{}, endNoServer
		}
		to = chosen
	}
	if !r.f.selector.takeSecondSend(r.j.request.ID, r.j.service) {
		return destination{}, endSecondSends
	}
	return to, ""
}

// copyHolder returns the server that holds the KV cache copy which the attempt has made, nil for
// none. A copy goes to an address: a server that restarted there under another id gets it anew.
func (a *streamAttempt) copyHolder() *directory.Server {
	if a.run.deliveredEvents == 0 || a.cacheCopyServer == nil {
		return nil
	}
	return a.run.continuableAt(a.run.f.directory.Snapshot().FindByAddress(a.cacheCopyServer.Address))
}
