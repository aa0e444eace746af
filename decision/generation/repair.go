package generation

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// freeFailures is how many failures in a row are retried without a pause.
const freeFailures = 2

// maxBudgetDoublings bounds the growth of the prefill budget.
const maxBudgetDoublings = 5

// plan starts what is missing for the answer to go on.
func (m *Machine) plan(now time.Duration) {
	if m.phase != phaseRunning || now < m.retryAt {
		return
	}
	m.retryAt = 0
	if m.healthy() {
		return
	}
	if m.answer.offset > 0 {
		m.broken = true
	}
	m.reattach(now)
	if m.probing() && !m.overlaps() {
		return
	}
	m.startElsewhere(now)
}

// overlaps reports whether a new stream may start beside a probe. A caller who
// just came back usually finds its stream, so that probe runs alone first.
func (m *Machine) overlaps() bool {
	return m.config.Policy.OverlapProbe && (m.begun || !m.fromCursor)
}

// healthy reports whether enough attempts can be expected to produce.
func (m *Machine) healthy() bool {
	starting := 0
	for _, a := range m.attempts {
		switch {
		case a.suspected || a.probing():
		case a.starting():
			starting++
		default:
			return true
		}
	}
	return starting >= m.starts()
}

// starts returns how many new streams are wanted now.
func (m *Machine) starts() int {
	if m.answer.offset > 0 && !m.noSecond {
		return m.config.Policy.ParallelStarts
	}
	return 1
}

// started reports whether a new stream can be expected to produce.
func (m *Machine) started() bool {
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool { return !a.suspected && a.starting() })
}

func (m *Machine) probing() bool {
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool { return !a.suspected && a.probing() })
}

// reattach opens a new connection to the source once between two tokens.
func (m *Machine) reattach(now time.Duration) {
	if m.source.ID == "" || m.sourceTried {
		return
	}
	m.sourceTried = true
	for _, a := range slices.Clone(m.attempts) {
		if a.probing() {
			m.close(a, false, serving.OutcomeCancelled)
		}
	}
	anchor := m.answer.anchor()
	a := m.open(now, KindReattach, m.source, now+m.config.Policy.ProbeTimeout)
	a.next, a.hash = anchor.offset, anchor.hash
	a.verified = a.next == m.answer.offset
	a.cadence = m.cadence
	m.emit(OpenAttempt{
		Attempt: a.number, Kind: KindReattach, Server: m.source.Server, Version: m.version, Seed: m.seed,
		Stream: m.source, Offset: a.next,
	})
	m.note("reattach", "a new connection to the same engine stream", m.source.Server)
}

// startElsewhere asks for a server for a new stream.
func (m *Machine) startElsewhere(now time.Duration) {
	if m.asking {
		return
	}
	if m.kindOfStart() == KindReplay && m.replayDiffers {
		if !m.probing() {
			m.mismatch(now)
		}
		return
	}
	if m.failures >= m.config.Policy.MaxFailures {
		if !m.probing() {
			m.stop("every attempt failed")
		}
		return
	}
	m.ask++
	m.asking = true
	exclude, avoid := m.otherServers()
	m.emit(RequestRoute{
		RouteNumber: m.ask, Purpose: m.purpose(), Version: m.version,
		Exclude: exclude, Avoid: avoid, AvoidNear: m.silentServers(),
	})
}

func (m *Machine) kindOfStart() AttemptKind {
	switch {
	case m.answer.offset == 0:
		return KindFresh
	case m.answer.whole:
		return KindContinue
	default:
		return KindReplay
	}
}

func (m *Machine) purpose() serving.Purpose {
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

// otherServers names the servers that are being tried now and those that
// failed or are suspected. A suspected one may be the only one left.
func (m *Machine) otherServers() (exclude, avoid []string) {
	avoid = slices.Clone(m.avoid)
	for _, a := range m.attempts {
		list := &exclude
		if a.excused {
			continue
		}
		if a.suspected {
			list = &avoid
		}
		if !slices.Contains(*list, a.stream.Server) {
			*list = append(*list, a.stream.Server)
		}
	}
	return exclude, avoid
}

// silentServers names the servers whose data centres are to be avoided: under
// the latency objective at the first silence and where a stream starts already,
// under the cost objective after a second server of the place did not answer.
func (m *Machine) silentServers() []string {
	if !m.config.Policy.OverlapProbe && m.failures == 0 {
		return nil
	}
	silent := slices.Clone(m.silent)
	for _, a := range m.attempts {
		wanted := (a.suspected && !a.excused) || (a.starting() && !a.suspected)
		if wanted && !slices.Contains(silent, a.stream.Server) {
			silent = append(silent, a.stream.Server)
		}
	}
	return silent
}

func (m *Machine) routeChosen(now time.Duration, in RouteChosen) {
	if m.phase != phaseRunning || !m.asking || in.RouteNumber != m.ask {
		return
	}
	m.asking = false
	if m.healthy() {
		return
	}
	if _, avoid := m.otherServers(); slices.Contains(avoid, in.Server) {
		if m.started() {
			m.noSecond = true
			return
		}
		m.startRound(in.Server)
	}
	if !m.config.Policy.OverlapProbe {
		m.closeAll(false)
	}
	kind := m.kindOfStart()
	bytes := m.config.PromptBytes
	tokens, _ := m.answer.text()
	if kind == KindContinue {
		for _, token := range tokens {
			bytes += len(token)
		}
		m.counters.RepeatedPrefill += len(tokens)
	}
	a := m.open(now, kind, Stream{Server: in.Server}, now+m.prefillBudget(bytes))
	opened := OpenAttempt{Attempt: a.number, Kind: kind, Server: in.Server, RouteNumber: in.RouteNumber, Version: m.version, Seed: m.seed}
	a.verified = true
	a.cadence = m.cadence
	switch kind {
	case KindContinue:
		a.next, a.hash = m.answer.offset, m.answer.hash
		opened.Prefix = tokens
	case KindReplay:
		a.verified = false
	}
	m.emit(opened)
	m.note(string(kind), "a new stream", in.Server)
	m.plan(now)
}

// startRound forgets the servers to avoid but the given one: each was tried,
// so that the next round may ask any of them again.
func (m *Machine) startRound(server string) {
	m.avoid, m.silent = []string{server}, nil
	for _, a := range m.attempts {
		a.excused = a.suspected
	}
}

// prefillBudget doubles with each failure in a row, so that a prefill that
// takes longer than expected is not started again for ever.
func (m *Machine) prefillBudget(bytes int) time.Duration {
	doublings := min(max(m.failures-freeFailures, 0), maxBudgetDoublings)
	return m.config.Policy.Silence.PrefillTimeout(bytes) << doublings
}

func (m *Machine) routeFailed(now time.Duration, in RouteFailed) {
	if m.phase != phaseRunning || !m.asking || in.RouteNumber != m.ask {
		return
	}
	m.asking = false
	if m.started() {
		m.noSecond = true
		return
	}
	temporary := in.Fault.Code == fault.NoBackendServer || in.Fault.Code == fault.Overloaded
	if len(m.attempts) == 0 && !m.mayHaveRun {
		m.fail(in.Fault.WithExecution(m.nothingSent()))
		return
	}
	if len(m.attempts) == 0 && !temporary {
		m.fail(in.Fault.WithExecution(m.execution()))
		return
	}
	m.note("wait", "no backend server: "+in.Fault.Reason, "")
	m.avoid, m.silent = nil, nil
	m.sourceTried = false
	m.retryAt = now + m.pause(freeFailures+1+m.failures)
}

// open adds an attempt and makes room for it.
func (m *Machine) open(now time.Duration, kind AttemptKind, stream Stream, deadline time.Duration) *attempt {
	if len(m.attempts) >= maxOpen {
		m.close(m.attempts[0], true, serving.OutcomeCancelled)
	}
	m.number++
	m.counters.Attempts++
	a := &attempt{number: m.number, kind: kind, stream: stream, last: now, deadline: deadline}
	m.attempts = append(m.attempts, a)
	return a
}

// lose removes an attempt that ended and plans the next.
func (m *Machine) lose(now time.Duration, a *attempt, reason FailureReason) {
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
	if reason == FailureStalled && !slices.Contains(m.silent, a.stream.Server) {
		m.silent = append(m.silent, a.stream.Server)
	}
	m.note("lost", "attempt ended: "+string(reason), a.stream.Server)
	m.close(a, reason == FailureProtocol || reason == FailureStalled, reason.outcome())
	if m.failures > freeFailures && len(m.attempts) == 0 {
		m.retryAt = now + m.pause(m.failures)
	}
	m.plan(now)
}

// pause returns a random wait that grows with the failures in a row.
func (m *Machine) pause(failures int) time.Duration {
	policy := m.config.Policy
	wait := policy.BackoffBase << min(failures-freeFailures, 16)
	wait = min(wait, policy.MaxBackoff)
	return wait/2 + time.Duration(m.random.Int64N(int64(wait/2)+1))
}

// close ends an attempt. The engine's stream is cancelled only when no other
// open attempt reads it.
func (m *Machine) close(a *attempt, cancel bool, outcome serving.AttemptOutcome) {
	m.attempts = slices.DeleteFunc(m.attempts, func(other *attempt) bool { return other == a })
	shared := slices.ContainsFunc(m.attempts, func(other *attempt) bool {
		return other.stream.ID != "" && other.stream == a.stream
	})
	m.emit(CloseAttempt{Attempt: a.number, Cancel: cancel && !shared, Outcome: outcome})
}

func (m *Machine) closeAll(cancel bool) {
	for len(m.attempts) > 0 {
		m.close(m.attempts[0], cancel, serving.OutcomeCancelled)
	}
}

// tick suspects attempts that were silent for too long.
func (m *Machine) tick(now time.Duration) {
	if m.phase == phaseDetached && now >= m.graceEnd {
		m.endGrace()
		return
	}
	if m.phase != phaseRunning {
		return
	}
	if now >= m.config.Deadline {
		m.stop("the deadline passed")
		return
	}
	for _, a := range slices.Clone(m.attempts) {
		if !a.suspected && now >= a.deadline {
			m.suspect(now, a)
		}
	}
	m.plan(now)
}

// suspect marks a silent attempt. Under the cost objective a new stream that
// sends nothing is given up, so that two never run side by side.
func (m *Machine) suspect(now time.Duration, a *attempt) {
	a.suspected = true
	m.note("suspect", "silent for "+(now-a.last).Round(time.Millisecond).String(), a.stream.Server)
	if !a.starting() {
		return
	}
	if m.config.Policy.OverlapProbe {
		m.failures++
		return
	}
	m.lose(now, a, FailureStalled)
}
