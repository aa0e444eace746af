package forward

import (
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// callBinding returns the binding by which the server of the next attempt of a call is chosen.
func (f *Forwarder) callBinding(j *job) versionBinding {
	return versionBinding{choice: f.rollouts.Choose(j.service, j.route.Name, j.sends == 0, &j.versionDraw)}
}

// chooseServer chooses the server of the next attempt of a call; nil when there is none.
func (r *callRun) chooseServer() *directory.Server {
	return r.f.selector.chooseForCall(r.service, r.f.callBinding(r.j), r.leaveKey(), r.j.hasFailed)
}

// bindingForChoice returns the binding by which the server of the next attempt is chosen.
func (r *streamRun) bindingForChoice() versionBinding {
	binding := r.binding
	if !binding.bound {
		binding.choice = r.f.rollouts.Choose(r.service.Name, r.j.route.Name, r.j.sends == 0, &r.j.versionDraw)
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
