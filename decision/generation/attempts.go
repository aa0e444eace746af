package generation

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// immediateRetries is the number of consecutive failures that are retried
// without a backoff delay.
const immediateRetries = 2

// maxPrefillDoublings bounds the growth of the prefill timeout.
const maxPrefillDoublings = 5

// startMissingAttempts starts the attempts that are needed to produce the rest
// of the answer.
func (m *Machine) startMissingAttempts(now time.Duration) {
	if m.phase != phaseRunning || now < m.nextRetryAt {
		return
	}
	m.nextRetryAt = 0
	if m.hasEnoughAttempts() {
		return
	}
	if m.answer.offset > 0 {
		m.interrupted = true
	}
	m.reattach(now)
	if m.hasProbe() && !m.mayOverlapProbe() {
		return
	}
	m.requestRoute(now)
}

// mayOverlapProbe reports whether a new stream may start beside a probe. The
// stream of a caller that just reconnected usually still exists, so that it is
// probed alone first.
func (m *Machine) mayOverlapProbe() bool {
	return m.config.Policy.OverlapProbe && (m.beginSent || !m.fromCursor)
}

// hasEnoughAttempts reports whether enough attempts may still produce tokens.
func (m *Machine) hasEnoughAttempts() bool {
	starting := 0
	for _, a := range m.attempts {
		switch {
		case a.stalled || a.probing():
		case a.awaitsFirstToken():
			starting++
		default:
			return true
		}
	}
	return starting >= m.targetStarts()
}

// targetStarts returns the number of new streams that are to run in parallel now.
func (m *Machine) targetStarts() int {
	if m.answer.offset > 0 && !m.noSecondServer {
		return m.config.Policy.ParallelStarts
	}
	return 1
}

// hasNewStream reports whether a new stream is expected to send its first token.
func (m *Machine) hasNewStream() bool {
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool { return !a.stalled && a.awaitsFirstToken() })
}

func (m *Machine) hasProbe() bool {
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool { return !a.stalled && a.probing() })
}

// reattach opens a new connection to the source, at most once between two
// delivered tokens.
func (m *Machine) reattach(now time.Duration) {
	if m.source.ID == "" || m.reattachTried {
		return
	}
	m.reattachTried = true
	for _, a := range slices.Clone(m.attempts) {
		if a.probing() {
			m.closeAttempt(a, false, serving.OutcomeCancelled)
		}
	}
	anchor := m.answer.anchor()
	a := m.addAttempt(now, KindReattach, m.source, now+m.config.Policy.ProbeTimeout)
	a.nextOffset, a.hash = anchor.offset, anchor.hash
	a.verified = a.nextOffset == m.answer.offset
	a.intervals = m.sourceIntervals
	m.emit(OpenAttempt{
		Attempt: a.number, Kind: KindReattach, Server: m.source.Server, Version: m.version, Seed: m.seed,
		Stream: m.source, Offset: a.nextOffset,
	})
	m.recordDecision("reattach", "a new connection to the same engine stream", m.source.Server)
}

// requestRoute requests a server for a new stream.
func (m *Machine) requestRoute(now time.Duration) {
	if m.awaitingRoute {
		return
	}
	if m.newStreamKind() == KindReplay && m.replayDiffers {
		if !m.hasProbe() {
			m.endOrRestart(now)
		}
		return
	}
	if m.failures >= m.config.Policy.MaxFailures {
		if !m.hasProbe() {
			m.failStopped("every attempt failed")
		}
		return
	}
	m.lastRouteNumber++
	m.awaitingRoute = true
	exclude, avoid := m.routeExclusions()
	m.emit(RequestRoute{
		RouteNumber: m.lastRouteNumber, Purpose: m.routePurpose(), Version: m.version,
		Exclude: exclude, Avoid: avoid, AvoidNear: m.serversToAvoidNear(),
	})
}

func (m *Machine) newStreamKind() AttemptKind {
	switch {
	case m.answer.offset == 0:
		return KindFresh
	case m.answer.hasTokens:
		return KindContinue
	default:
		return KindReplay
	}
}

func (m *Machine) routePurpose() serving.Purpose {
	switch {
	case m.answer.offset == 0 && m.counters.Attempts == 0:
		return serving.PurposeFirst
	case len(m.attempts) > 0:
		return serving.PurposeOverlap
	case m.answer.offset > 0:
		return serving.PurposeResume
	default:
		return serving.PurposeRetry
	}
}

// routeExclusions returns the servers with an open attempt and those that
// failed or stalled. A stalled one is only avoided, as it may be the only one
// left.
func (m *Machine) routeExclusions() (exclude, avoid []string) {
	avoid = slices.Clone(m.avoid)
	for _, a := range m.attempts {
		list := &exclude
		if a.retryAllowed {
			continue
		}
		if a.stalled {
			list = &avoid
		}
		if !slices.Contains(*list, a.stream.Server) {
			*list = append(*list, a.stream.Server)
		}
	}
	return exclude, avoid
}

// serversToAvoidNear returns the servers whose data centres are to be avoided:
// those of stalled attempts and of starting streams. The latency objective avoids
// them at the first stall, the cost objective after a second server there did
// not answer.
func (m *Machine) serversToAvoidNear() []string {
	if !m.config.Policy.OverlapProbe && m.failures == 0 {
		return nil
	}
	servers := slices.Clone(m.stalledServers)
	for _, a := range m.attempts {
		avoid := (a.stalled && !a.retryAllowed) || (a.awaitsFirstToken() && !a.stalled)
		if avoid && !slices.Contains(servers, a.stream.Server) {
			servers = append(servers, a.stream.Server)
		}
	}
	return servers
}

func (m *Machine) routeChosen(now time.Duration, in RouteChosen) {
	if m.phase != phaseRunning || !m.awaitingRoute || in.RouteNumber != m.lastRouteNumber {
		return
	}
	m.awaitingRoute = false
	if m.hasEnoughAttempts() {
		return
	}
	if _, avoid := m.routeExclusions(); slices.Contains(avoid, in.Server) {
		if m.hasNewStream() {
			m.noSecondServer = true
			return
		}
		m.startNewRound(in.Server)
	}
	if !m.config.Policy.OverlapProbe {
		m.closeAll(false)
	}
	kind := m.newStreamKind()
	bytes := m.config.PromptBytes
	tokens, _ := m.answer.text()
	if kind == KindContinue {
		for _, token := range tokens {
			bytes += len(token)
		}
		m.counters.RepeatedPrefill += len(tokens)
	}
	a := m.addAttempt(now, kind, Stream{Server: in.Server}, now+m.prefillTimeout(bytes))
	opened := OpenAttempt{Attempt: a.number, Kind: kind, Server: in.Server, RouteNumber: in.RouteNumber, Version: m.version, Seed: m.seed}
	a.verified = true
	a.intervals = m.sourceIntervals
	switch kind {
	case KindContinue:
		a.nextOffset, a.hash = m.answer.offset, m.answer.hash
		opened.Prefix = tokens
	case KindReplay:
		a.verified = false
	}
	m.emit(opened)
	m.recordDecision(string(kind), "a new stream", in.Server)
	m.startMissingAttempts(now)
}

// startNewRound clears the servers to avoid except the given one: every server
// was tried, so the next round may choose any of them again.
func (m *Machine) startNewRound(server string) {
	m.avoid, m.stalledServers = []string{server}, nil
	for _, a := range m.attempts {
		a.retryAllowed = a.stalled
	}
}

// prefillTimeout doubles the timeout with each consecutive failure, so that a
// prefill that takes longer than expected is not restarted forever.
func (m *Machine) prefillTimeout(bytes int) time.Duration {
	doublings := min(max(m.failures-immediateRetries, 0), maxPrefillDoublings)
	return m.config.Policy.Silence.PrefillTimeout(bytes) << doublings
}

func (m *Machine) routeFailed(now time.Duration, in RouteFailed) {
	if m.phase != phaseRunning || !m.awaitingRoute || in.RouteNumber != m.lastRouteNumber {
		return
	}
	m.awaitingRoute = false
	if m.hasNewStream() {
		m.noSecondServer = true
		return
	}
	temporary := in.Fault.Code == fault.NoBackendServer || in.Fault.Code == fault.Overloaded
	if len(m.attempts) == 0 && !m.mayHaveRun {
		m.fail(in.Fault.WithExecution(m.notSentExecution()))
		return
	}
	if len(m.attempts) == 0 && !temporary {
		m.fail(in.Fault.WithExecution(m.execution()))
		return
	}
	m.recordDecision("wait", "no backend server: "+in.Fault.Reason, "")
	m.avoid, m.stalledServers = nil, nil
	m.reattachTried = false
	m.nextRetryAt = now + m.backoffDelay(immediateRetries+1+m.failures)
}

// addAttempt adds an attempt. At maxOpenAttempts it first closes the oldest one.
func (m *Machine) addAttempt(now time.Duration, kind AttemptKind, stream Stream, deadline time.Duration) *attempt {
	if len(m.attempts) >= maxOpenAttempts {
		m.closeAttempt(m.attempts[0], true, serving.OutcomeCancelled)
	}
	m.lastAttempt++
	m.counters.Attempts++
	a := &attempt{number: m.lastAttempt, kind: kind, stream: stream, lastTokenAt: now, deadline: deadline}
	m.attempts = append(m.attempts, a)
	return a
}

// failAttempt removes an attempt that failed and starts the next.
func (m *Machine) failAttempt(now time.Duration, a *attempt, reason FailureReason) {
	m.failures++
	m.mayHaveRun = m.mayHaveRun || reason.mayHaveRun()
	if reason == FailureProtocol {
		m.counters.ProtocolViolations++
	}
	if reason == FailureUnknownStream && a.stream == m.source {
		m.source = Stream{}
	}
	if !slices.Contains(m.avoid, a.stream.Server) && reason != FailureUnknownStream {
		m.avoid = append(m.avoid, a.stream.Server)
	}
	if reason == FailureStalled && !slices.Contains(m.stalledServers, a.stream.Server) {
		m.stalledServers = append(m.stalledServers, a.stream.Server)
	}
	m.recordDecision("lost", "the attempt failed: "+string(reason), a.stream.Server)
	m.closeAttempt(a, reason == FailureProtocol || reason == FailureStalled, reason.outcome())
	if m.failures > immediateRetries && len(m.attempts) == 0 {
		m.nextRetryAt = now + m.backoffDelay(m.failures)
	}
	m.startMissingAttempts(now)
}

// backoffDelay returns a random delay that grows with the consecutive failures.
func (m *Machine) backoffDelay(failures int) time.Duration {
	policy := m.config.Policy
	delay := policy.BackoffBase << min(failures-immediateRetries, 16)
	delay = min(delay, policy.MaxBackoff)
	return delay/2 + time.Duration(m.random.Int64N(int64(delay/2)+1))
}

// closeAttempt ends an attempt. The engine's stream is cancelled only when no
// other open attempt reads it.
func (m *Machine) closeAttempt(a *attempt, cancel bool, outcome serving.AttemptOutcome) {
	m.attempts = slices.DeleteFunc(m.attempts, func(other *attempt) bool { return other == a })
	shared := slices.ContainsFunc(m.attempts, func(other *attempt) bool {
		return other.stream.ID != "" && other.stream == a.stream
	})
	m.emit(CloseAttempt{Attempt: a.number, Cancel: cancel && !shared, Outcome: outcome})
}

func (m *Machine) closeAll(cancel bool) {
	for len(m.attempts) > 0 {
		m.closeAttempt(m.attempts[0], cancel, serving.OutcomeCancelled)
	}
}

// tick ends the grace period or the generation when its time is over, and
// marks attempts past their deadline as stalled.
func (m *Machine) tick(now time.Duration) {
	if m.phase == phaseDetached && now >= m.graceDeadline {
		m.endGracePeriod()
		return
	}
	if m.phase != phaseRunning {
		return
	}
	if now >= m.config.Deadline {
		m.failStopped("the deadline passed")
		return
	}
	for _, a := range slices.Clone(m.attempts) {
		if !a.stalled && now >= a.deadline {
			m.markStalled(now, a)
		}
	}
	m.startMissingAttempts(now)
}

// markStalled marks a silent attempt. Under the cost objective a new stream that
// sends nothing is closed, so that two never run in parallel.
func (m *Machine) markStalled(now time.Duration, a *attempt) {
	a.stalled = true
	m.recordDecision("suspect", "no token for "+(now-a.lastTokenAt).Round(time.Millisecond).String(), a.stream.Server)
	if !a.awaitsFirstToken() {
		return
	}
	if m.config.Policy.OverlapProbe {
		m.failures++
		return
	}
	m.failAttempt(now, a, FailureStalled)
}
