package forward

import (
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// chooseForCall chooses the server of the next attempt of a call; nil when there is none.
func (f *Forwarder) chooseForCall(service *route.Service, j *job, key string) *directory.Server {
	return f.selector.chooseForCall(service, versionBinding{choice: f.versionChoice(service, j)}, key, j.hasFailed)
}

// versionChoice returns which servers the next attempt of a request may use. The part of a new version's share that the first
// attempt takes is taken once, also when its server is chosen several times because the request waits for room.
func (f *Forwarder) versionChoice(service *route.Service, j *job) rollouts.Choice {
	if j.sends > 0 {
		return f.rollouts.Choose(service.Name, j.route.Name, false)
	}
	if j.firstChoice == nil {
		drawn := f.rollouts.Choose(service.Name, j.route.Name, true)
		j.firstChoice = &drawn
		return drawn
	}
	return f.rollouts.Renew(*j.firstChoice, service.Name, j.route.Name)
}

// bindingForChoice returns the binding by which the server of the next attempt is chosen.
func (r *streamRun) bindingForChoice() versionBinding {
	binding := r.binding
	if !binding.bound {
		binding.choice = r.f.versionChoice(r.service, r.j)
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
