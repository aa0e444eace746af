package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/event"
)

// notAdmittedReason says why a request got no room.
type notAdmittedReason string

const (
	// refusedExpected means that no room was expected in time, refusedWaited that the request has waited for as long as it
	// may, refusedDisplaced that others took its place among those that wait.
	refusedExpected  notAdmittedReason = "expected"
	refusedWaited    notAdmittedReason = "waited"
	refusedDisplaced notAdmittedReason = "displaced"
)

func (f *Forwarder) logWaits(w *waitingRequest, decision admission.Decision, rank int) {
	f.meters.count("admission.waited")
	event.Log(f.logger, event.RequestWaits).Str("request", w.j.request.ID).Str("service", w.j.service).Int("rank", rank).
		Int("ahead", decision.Ahead).Dur("expected_ms", decision.Expected).Dur("longest_ms", w.maxWait).Send()
}

func (f *Forwarder) logGranted(w *waitingRequest, room *grant) {
	server := ""
	if room.server != nil {
		server = room.server.ID
	}
	event.Log(f.logger, event.RequestAdmitted).Str("request", w.j.request.ID).Str("service", w.j.service).Str("server", server).
		Dur("waited_ms", time.Since(w.since)).Send()
}

func (f *Forwarder) logNotAdmitted(w *waitingRequest, decision admission.Decision, reason notAdmittedReason) {
	f.meters.count("admission.refused." + string(reason))
	event.Log(f.logger, event.RequestNotAdmitted).Str("request", w.j.request.ID).Str("service", w.j.service).Int("rank", w.j.rank).
		Str("reason", string(reason)).Int("ahead", decision.Ahead).Dur("expected_ms", decision.Expected).
		Dur("longest_ms", w.maxWait).Dur("waited_ms", time.Since(w.since)).Send()
}
