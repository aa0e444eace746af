package rollouts

import (
	"maps"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// applyEntries applies orders that were read from the store as of a revision; complete says that there are no others.
func (m *Manager) applyEntries(entries []Entry, asOf revision.Revision, complete bool) {
	m.mu.Lock()
	m.asOf = max(m.asOf, asOf)
	listed := make(map[string]bool)
	for i := range entries {
		listed[entries[i].Name] = true
		m.applyEntry(&entries[i])
	}
	if complete {
		maps.DeleteFunc(m.unknown, func(name string, _ Entry) bool { return !listed[name] })
		for service, found := range m.moves {
			if !listed[service] && found.running() && (found.known || found.seen <= m.asOf) {
				m.withdraw(found)
			}
		}
	}
	m.mu.Unlock()
	m.options.Announce()
}

// applyEntry applies one order; mu is held.
func (m *Manager) applyEntry(entry *Entry) {
	found := m.moves[entry.Name]
	delete(m.unknown, entry.Name)
	if entry.Removed {
		if found != nil && found.running() {
			m.withdraw(found)
		}
		return
	}
	if err := m.check(entry); err != nil {
		m.logInvalid(entry, err)
		return
	}
	if !m.options.Known(entry.Order.Service) {
		if len(m.unknown) < maxOrders {
			m.unknown[entry.Name] = *entry
		}
		m.logInvalid(entry, fault.New(fault.RolloutInvalid, "service: the configuration has none named "+entry.Order.Service+" yet"))
		return
	}
	if found != nil && found.id == entry.Order.ID() {
		found.entry, found.known = *entry, true
		m.adoptStatus(found, &entry.Status)
		return
	}
	if found != nil && found.running() {
		m.logInvalid(entry, fault.New(fault.RolloutInvalid, "version: the service moves to "+found.order.To+" already"))
		found.waiting, found.entry, found.known = entry, *entry, true
		return
	}
	began := m.now()
	if entry.Status.belongsTo(&entry.Order) && !entry.Status.Began.IsZero() {
		began = began.Add(-max(0, min(m.now().Sub(entry.Status.Began), entry.Order.Duration)))
	}
	made := m.begin(entry.Order, entry.Revision, began)
	if made == nil {
		return
	}
	made.entry, made.known = *entry, true
	m.adoptStatus(made, &entry.Status)
}

// check returns why an order has no effect, nil if it has.
func (m *Manager) check(entry *Entry) error {
	if entry.Invalid != nil {
		return entry.Invalid
	}
	if err := entry.Order.Validate(); err != nil {
		return err
	}
	if entry.Name != entry.Order.Service {
		return fault.New(fault.RolloutInvalid, "service: "+entry.Order.Service+" isn't the name of the object")
	}
	return nil
}

// applyKnown applies orders whose services the configuration has meanwhile; mu is held.
func (m *Manager) applyKnown() {
	for name, entry := range m.unknown {
		if m.options.Known(name) {
			m.applyEntry(&entry)
		}
	}
}

// logInvalid logs an order without effect once for each revision; mu is held.
func (m *Manager) logInvalid(entry *Entry, err error) {
	if m.invalid[entry.Name] == uint64(entry.Revision) {
		return
	}
	if len(m.invalid) > 16*maxOrders {
		clear(m.invalid)
	}
	m.invalid[entry.Name] = uint64(entry.Revision)
	m.count("rollouts.invalid")
	event.Log(m.options.Logger, event.RolloutInvalid).Str("object", entry.Name).Stringer("revision", entry.Revision).Err(err).Send()
}

// begin puts an order into force, and returns nil when there are too many; mu is held.
func (m *Manager) begin(order rollout.Order, seen revision.Revision, began time.Time) *move {
	before := m.moves[order.Service]
	if before == nil && len(m.moves) >= maxOrders {
		return nil
	}
	made := newMove(m.now(), order, seen, began)
	if before != nil {
		made.barred = before.barred
		if before.plan.Outcome != rollout.Completed && before.order.To != order.To {
			made.barred = append(made.barred, before.order.To)
		}
	}
	m.moves[order.Service] = made
	event.Log(m.options.Logger, event.RolloutSeen).Str("service", order.Service).Str("to", order.To).Dur("duration_ms", order.Duration).
		Dur("age_ms", m.now().Sub(began)).Stringer("revision", seen).Send()
	return made
}

// adoptStatus takes over the outcome that the store states, which is final; mu is held.
func (m *Manager) adoptStatus(found *move, status *Status) {
	if !status.belongsTo(&found.order) || status.Outcome == rollout.Running {
		return
	}
	found.final = true
	if found.plan.Outcome != status.Outcome {
		m.decide(found, status.Outcome, rollout.ReasonStatusInStore, "store")
	}
}

// adoptPeer takes over the outcome that a peer tells: what the store holds, or a verdict against the version, which holds
// whatever the own evidence is; mu is held.
func (m *Manager) adoptPeer(found *move, process string, news *News) {
	if found.final || news.Outcome == rollout.Running || (!news.Final && news.Outcome == rollout.Completed) {
		return
	}
	found.final = news.Final
	if found.plan.Outcome != news.Outcome {
		m.decide(found, news.Outcome, rollout.ReasonPeerVerdict, process)
	}
}

// withdraw ends an order that was removed; mu is held.
func (m *Manager) withdraw(found *move) {
	found.known = false
	m.decide(found, rollout.Withdrawn, rollout.ReasonOrderWithdrawn, "store")
}

// decide ends an order; mu is held.
func (m *Manager) decide(found *move, outcome rollout.Outcome, reason rollout.Reason, by string) {
	found.plan = rollout.Plan{Outcome: outcome, Reason: reason}
	found.decidedAt = m.now()
	m.count("rollouts." + outcome.String())
	event.Log(m.options.Logger, event.RolloutDecided).Str("service", found.order.Service).Str("to", found.order.To).Stringer("outcome", outcome).
		Str("reason", string(reason)).Str("by", by).Dur("age_ms", m.now().Sub(found.began)).Int("requests", found.pooled.Requests).
		Int("exposed", found.pooled.Exposed).Int("answers", found.findings.Answers).Int("bad_answers", found.findings.BadAnswers).
		Int("old_answers", found.findings.OldAnswers).Int("old_bad_answers", found.findings.OldBadAnswers).
		Float64("score", found.findings.Score).Uint32("route", found.findings.Route).Dur("window_ms", found.findings.Window).
		Dur("evidence_age_ms", found.age).Send()
}

// News returns what peers are told about orders.
func (m *Manager) News() []News {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	news := make([]News, 0, len(m.moves))
	for _, found := range m.moves {
		told := News{Order: found.order, Seen: found.seen, Age: m.now().Sub(found.began), Outcome: found.plan.Outcome, Final: found.final}
		told.Evidence = rollout.Evidence{
			Requests: found.own.Requests, Exposed: found.own.Exposed, OldStreams: m.oldStreams(found),
			Cells: make(map[rollout.Cell]rollout.Counts, min(MaxCells, len(found.own.Cells))),
		}
		for cell, counts := range found.own.Cells { // a map's order differs each time, so that all are sent in turn
			if len(told.Evidence.Cells) == MaxCells {
				break
			}
			told.Evidence.Cells[cell] = counts
		}
		news = append(news, told)
	}
	return news
}

// Learn records what a peer tells; process identifies the peer's process.
func (m *Manager) Learn(process string, news []News) {
	if m == nil || !m.options.Limits.Enabled() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range news {
		m.learn(process, &news[i])
	}
}

func (m *Manager) learn(process string, news *News) {
	if news.Order.Validate() != nil {
		return
	}
	found := m.moves[news.Order.Service]
	id := news.Order.ID()
	if found == nil || (found.id != id && news.Seen > found.seen && !found.running()) {
		if found = m.begin(news.Order, news.Seen, m.now().Add(-news.Age)); found == nil {
			return
		}
	}
	if found.id != id {
		return
	}
	if began := m.now().Add(-news.Age); began.Before(found.began) {
		found.began = began
	}
	m.adoptPeer(found, process, news)
	if m.wasRemoved(found) {
		m.withdraw(found)
	}
	known := found.reports[process]
	if known == nil {
		if len(found.reports) >= maxReports {
			return
		}
		known = &report{evidence: rollout.Evidence{Cells: make(map[rollout.Cell]rollout.Counts)}}
		found.reports[process] = known
	}
	known.at = m.now()
	known.evidence.Requests = max(known.evidence.Requests, news.Evidence.Requests)
	known.evidence.Exposed = max(known.evidence.Exposed, news.Evidence.Exposed)
	known.evidence.OldStreams = news.Evidence.OldStreams
	for cell, counts := range news.Evidence.Cells {
		if before := known.evidence.Cells[cell]; before.Answers() <= counts.Answers() {
			known.evidence.Cells[cell] = counts
		}
	}
}

// wasRemoved reports whether the store lacks an order that runs, which peers may not know yet; mu is held. One that the
// store has and that is without effect here, perhaps in another form, isn't removed.
func (m *Manager) wasRemoved(found *move) bool {
	_, unknown := m.unknown[found.order.Service]
	_, invalid := m.invalid[found.order.Service]
	return found.running() && !found.known && !unknown && !invalid && found.seen <= m.asOf
}

// oldStreams returns the number of streams that run here at other versions than the order's; mu is held.
func (m *Manager) oldStreams(found *move) int {
	total := 0
	for key, count := range m.streams {
		if key.service == found.order.Service && key.version != found.order.To {
			total += count
		}
	}
	return total
}

// Fingerprint returns a number that changes as this instance's evidence does, 0 while no order runs.
func (m *Manager) Fingerprint() uint64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	fingerprint := uint64(0)
	for _, found := range m.moves {
		if found.running() {
			fingerprint += found.id | 1 + uint64(found.own.Requests)<<32 + uint64(found.own.Exposed)<<16
			for _, counts := range found.own.Cells {
				fingerprint += uint64(counts.Answers())
			}
		}
	}
	return fingerprint
}
