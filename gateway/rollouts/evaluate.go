package rollouts

import (
	"context"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/event"
)

// Run evaluates orders until the context ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if m.evaluate() {
				m.options.Announce()
			}
		}
	}
}

// evaluate evaluates all orders, and reports whether one has a new outcome.
func (m *Manager) evaluate() (decided bool) {
	instances := m.options.Instances() // takes a lock of the caller of News
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordArrivals()
	m.applyKnown()
	now := m.now()
	for service, found := range m.moves {
		if found.running() {
			m.countSlow(found, now)
			decided = m.evaluateMove(found, now, instances) || decided
			continue
		}
		m.stopIfBad(found, now)
		if waiting := found.waiting; waiting != nil && m.written(found) {
			found.waiting = nil
			m.applyEntry(waiting)
		}
		if m.ended(found, now) {
			delete(m.moves, service)
		}
	}
	return decided
}

// evaluateMove evaluates a running order, and reports whether it has an outcome now.
func (m *Manager) evaluateMove(found *move, now time.Time, instances int) bool {
	recent := found.pool(now)
	found.pooled.OldStreams += m.oldStreams(found)
	elapsed := now.Sub(found.began)
	found.findings = found.judge.Evaluate(elapsed, &found.pooled)
	ready := m.ready(found.order.Service, found.order.To)
	before := found.plan
	found.recentShare = max(before.Share, found.recentShare/2)
	next := rollout.Next(&rollout.Input{
		Limits: m.options.Limits, Duration: found.order.Duration, Elapsed: elapsed, Drain: m.options.DrainTime(), Age: found.age,
		Share: found.recentShare, Requests: found.pooled.Requests, Exposed: found.pooled.Exposed, OldStreams: found.pooled.OldStreams,
		SlackPart: slackPart(found, recent, instances), Findings: found.findings, Servers: len(ready) > 0,
	})
	if next.Outcome != rollout.Running {
		m.decide(found, next.Outcome, next.Reason, m.options.Instance)
		return true
	}
	found.plan = next
	found.shares = rollout.RouteShares(next.Share, found.requests)
	found.chooseSample(ready)
	m.gauge(found)
	if next.Reason != before.Reason || math.Abs(next.Share-before.Share) > max(0.01, before.Share/4) {
		event.Log(m.options.Logger, event.RolloutShare).Str("service", found.order.Service).Str("to", found.order.To).Float64("share", next.Share).
			Str("reason", string(next.Reason)).Int("servers", len(found.sample)).Int("requests", found.pooled.Requests).Int("exposed", found.pooled.Exposed).
			Int("answers", found.findings.Answers).Int("bad_answers", found.findings.BadAnswers).
			Int("old_answers", found.findings.OldAnswers).Int("old_bad_answers", found.findings.OldBadAnswers).Float64("score", found.findings.Score).
			Int("old_streams", found.pooled.OldStreams).Int("instances", recent+1).Dur("evidence_age_ms", found.age).Dur("age_ms", elapsed).Send()
	}
	return false
}

// slackPart returns the part of the fixed bound that this instance and the peers with recent evidence may use: none if no
// one has seen the order from its begin.
func slackPart(found *move, recent, instances int) float64 {
	if found.joined.Sub(found.began) > recentTime && len(found.reports) == 0 {
		return 0
	}
	return float64(recent+1) / float64(max(instances, recent+1))
}

// countSlow counts the attempts that are silent for several times the usual time.
func (m *Manager) countSlow(found *move, now time.Time) {
	limits := make(map[uint32]time.Duration)
	slowAfter := func(route uint32) time.Duration {
		limit, known := limits[route]
		if !known {
			limit = rollout.SlowAfter(&found.pooled, route)
			limits[route] = limit
		}
		return limit
	}
	for a := range m.attempts {
		if a.move == found {
			a.countSlow(now, slowAfter)
		}
	}
}

// stopIfBad stops a version with an outcome against it as its bad answers come near the limit, or as the store states the
// outcome and its servers may end.
func (m *Manager) stopIfBad(found *move, now time.Time) {
	if found.stopped || found.plan.Outcome != rollout.RolledBack {
		return
	}
	found.pool(now)
	findings := found.judge.Evaluate(now.Sub(found.began), &found.pooled)
	if findings.BadAnswers < stopBadAnswers && now.Sub(found.decidedAt) < m.options.Limits.StopTime/2 {
		return
	}
	found.stopped = true
	event.Log(m.options.Logger, event.RolloutStopped).Str("service", found.order.Service).Str("to", found.order.To).
		Int("bad_answers", findings.BadAnswers).Dur("after_ms", now.Sub(found.decidedAt)).Send()
}

// ended reports whether the version of an order with an outcome may be used as any other: it had no servers for
// endedTime, or all of them have it.
func (m *Manager) ended(found *move, now time.Time) bool {
	present := false
	for _, server := range m.options.Directory.Snapshot().ForService(found.order.Service) {
		present = present || (server.SoftwareVersion == found.order.To) == (found.plan.Outcome != rollout.Completed)
	}
	if present {
		found.goneSince = time.Time{}
		return false
	}
	if found.goneSince.IsZero() {
		found.goneSince = now
	}
	return now.Sub(found.goneSince) > endedTime && m.written(found)
}

func (m *Manager) count(name string) {
	metrics.GetOrRegisterCounter(name, m.options.Metrics).Inc(1)
}

// countAnswer counts an answer by service and version.
func (m *Manager) countAnswer(a *Attempt, failed bool) {
	prefix := "rollouts." + a.service + "." + a.version
	m.count(prefix + ".answers")
	if failed {
		m.count(prefix + ".failures")
	}
	name := prefix + ".latency_ms"
	histogram := m.options.Metrics.GetOrRegister(name, func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(256)) })
	if typed, ok := histogram.(metrics.Histogram); ok {
		metrics.Histogram.Update(typed, m.now().Sub(a.since).Milliseconds())
	}
}

// gauge sets the share of an order, in thousandths.
func (m *Manager) gauge(found *move) {
	metrics.GetOrRegisterGauge("rollouts."+found.order.Service+"."+found.order.To+".share_permille", m.options.Metrics).Update(int64(found.plan.Share * 1000))
}
