package forward

import (
	"cmp"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
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
	// hop is set when the stream is handed to a peer; server is the peer then.
	hop *hop
}

var errTooLate = fault.New(fault.TooLittleTime, "the prompt can't be read and the rest sent in the remaining time")

// nextDestination returns the server of the next attempt. Without one, the result holds the reason.
func (r *streamRun) nextDestination() (destination, streamResult) {
	if to, reason := r.relayDestination(); to.server != nil {
		r.reconnectServer = nil
		return to, streamResult{}
	} else if r.j.relayed != nil && reason != "" || reason == relayCutOff && !r.j.exchange.Started() || r.unboundHere && !r.binding.bound {
		return destination{}, streamResult{code: fault.NoServer}
	}
	reconnect, holder := r.reconnectServer, r.cacheCopyServer
	r.reconnectServer = nil
	if to := r.takeGranted(); to.server != nil {
		return to, streamResult{}
	}
	switch {
	case reconnect != nil && r.ranAt(reconnect):
		return destination{server: reconnect, reconnecting: true}, streamResult{}
	case holder != nil:
		r.cacheCopyServer = nil
		if !r.binding.admits(holder) || r.f.rollouts.Stopped(holder) || !r.f.selector.takesAnother(holder) {
			break
		}
		return destination{server: holder, fromCopy: true}, streamResult{}
	}
	return r.chooseDestination(r.j.hasFailed)
}

// ranAt reports whether the stream may go on at a server whose connection broke: the binding admits
// it, or it delivered the last event.
func (r *streamRun) ranAt(server *directory.Server) bool {
	return r.binding.admits(server) || r.deliveredBy == server.ID
}

// chooseDestination chooses a server by cost; one for which skip returns true only when there are
// no others.
func (r *streamRun) chooseDestination(skip func(id string) bool) (destination, streamResult) {
	if r.j.relayed == nil {
		r.size.LeaveKey = cmp.Or(r.size.PromptKey, r.j.request.ID)
	}
	r.size.Remaining, r.size.MaxPause = r.j.remaining(), r.j.route.MaxPause
	r.size.ProduceTime = r.f.selector.minTimeToEnd(r.j.service, 0, r.j.request.OutputTokens, r.events.position)
	server, choice := r.f.selector.chooseForGeneration(r.service, r.size, r.bindingForChoice(), skip)
	if server == nil && r.binding.bound {
		return destination{}, streamResult{code: fault.SoftwareVersionUnavailable}
	}
	if server == nil {
		return destination{}, streamResult{code: r.f.selector.noServerAnswer(r.service).code}
	}
	if !r.fits(choice.MinReadTokens) {
		return destination{}, streamResult{code: fault.TooLittleTime, err: errTooLate}
	}
	return destination{server: server, choice: choice}, streamResult{}
}

// copyHolder returns the server that holds the KV cache copy which the attempt has made, nil for
// none. A copy goes to an address: a server that restarted there under another id gets it anew.
func (a *streamAttempt) copyHolder() *directory.Server {
	if a.run.deliveredEvents == 0 || a.cacheCopyServer == nil {
		return nil
	}
	return a.run.continuableAt(a.run.f.directory.Snapshot().FindByAddress(a.cacheCopyServer.Address))
}
