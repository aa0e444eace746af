package forward

import (
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// chooseForCall chooses the server of the next attempt of a call; nil when there is none.
func (f *Forwarder) chooseForCall(service *route.Service, j *job) *directory.Server {
	choice := f.rollouts.Choose(service.Name, j.route.Name, j.sends == 0)
	return f.selector.chooseForCall(service, versionBinding{choice: choice}, j.hasFailed)
}

// bindingForChoice returns the binding by which the server of the next attempt is chosen.
func (r *streamRun) bindingForChoice() versionBinding {
	binding := r.binding
	if !binding.bound {
		binding.choice = r.f.rollouts.Choose(r.service.Name, r.j.route.Name, r.j.sends == 0)
	}
	return binding
}

// evidenceOfCall reports whether an attempt of a call shows how its server works, and whether that failed. A server that
// can't be reached or rejects the request shows nothing about its version, nor does an attempt that was cancelled.
func evidenceOfCall(result *callResult, cancelled error) (answered, failed bool) {
	failed = !result.usable() || result.failedAnswer()
	return cancelled == nil && !result.notRun, failed
}

// evidenceOfStream is evidenceOfCall for an attempt of a stream.
func evidenceOfStream(result *streamResult, cancelled error) (answered, failed bool) {
	switch {
	case result.complete:
		return true, false
	case result.finalAnswer != nil:
		return true, result.finalAnswer.failedAnswer()
	case cancelled != nil || result.notRun || result.wrongServer || result.code == fault.UpstreamUnreachable:
		return false, false
	}
	return true, true
}
