package membership

import (
	"cmp"
	"strings"
	"time"
)

// acceptDivisor leaves a margin between the age up to which an unknown
// instance is taken in and the age at which one is forgotten, for digests that
// were on their way for long.
const acceptDivisor = 2

// apply merges a digest and answers a probe.
func (r Received) apply(t *Table, now time.Time, out *Output) {
	digest := r.Digest
	t.counters.BytesReceived += uint64(max(0, r.Bytes))
	if !t.admit(digest, now, out) {
		return
	}
	for _, record := range digest.Records {
		t.mergeRecord(record, now, out)
	}
	for _, notice := range digest.Notices {
		t.mergeNotice(notice, now, out)
	}
	for _, report := range digest.Reports {
		t.mergeReport(report, out)
	}
	switch digest.Kind {
	case Probe:
		t.answer(digest, now, out)
	case Reply:
		t.settleProbe(digest)
	case Update:
	}
}

// admit checks the addressee, the incarnation, the freshness and the sequence
// of a digest and merges the sender's own record.
func (t *Table) admit(digest Digest, now time.Time, out *Output) bool {
	from := digest.From.Peer.Instance
	if digest.To != t.self.Peer.Instance || from == "" || from == t.self.Peer.Instance {
		t.counters.Misdirected++
		return false
	}
	known, ok := t.members[from]
	if ok && digest.From.Incarnation < known.record.Incarnation {
		t.counters.StaleSender++
		t.tellNewer(digest, known, now, out)
		return false
	}
	if !t.fresh(digest, known) {
		t.counters.Unproven++
		t.challenge(digest, now, out)
		return false
	}
	if ok && !known.window.accept(digest.From.Incarnation, digest.Sequence) {
		t.counters.Replayed++
		return false
	}
	own := digest.From
	own.Age, own.Health = 0, Alive
	t.mergeRecord(own, now, out)
	if entry, held := t.members[from]; held {
		entry.window.accept(digest.From.Incarnation, digest.Sequence)
		entry.proven = true
	}
	return true
}

// fresh reports whether the digest can't be a recording: either its sender
// proved itself before, so that the replay window decides, or it answers a
// probe of this process.
func (t *Table) fresh(digest Digest, known *memberEntry) bool {
	if known != nil && known.proven {
		return true
	}
	waiting, ok := t.probes[digest.ProbeSequence]
	return ok && digest.Kind == Reply && waiting.peer.Instance == digest.From.Peer.Instance
}

// challenge answers an unproven sender with the own record only and probes it,
// once in a probe timeout.
func (t *Table) challenge(digest Digest, now time.Time, out *Output) {
	peer := digest.From.Peer
	if digest.Kind == Probe {
		reply := t.newDigest(Reply, peer.Instance)
		reply.ProbeSequence = digest.Sequence
		t.send(peer.Gossip, reply, out)
	}
	for _, waiting := range t.probes {
		if waiting.peer.Instance == peer.Instance {
			return
		}
	}
	t.probe(peer, now.Add(-time.Nanosecond), now, out)
}

// tellNewer answers a restarted instance whose clock was set back with the
// incarnation known of it, so that it can raise its own.
func (t *Table) tellNewer(digest Digest, known *memberEntry, now time.Time, out *Output) {
	if digest.Kind != Probe {
		return
	}
	reply := t.newDigest(Reply, digest.From.Peer.Instance)
	reply.ProbeSequence = digest.Sequence
	reply.Records = []Record{t.aged(known, now)}
	t.send(digest.From.Peer.Gossip, reply, out)
}

// mergeRecord takes over a record if it is newer than the known one.
func (t *Table) mergeRecord(record Record, now time.Time, out *Output) {
	name := record.Peer.Instance
	if name == "" || record.Health > Dead || record.Age < 0 {
		t.counters.InvalidItems++
		return
	}
	if name == t.self.Peer.Instance {
		t.refute(record, out)
		return
	}
	entry, ok := t.members[name]
	if !ok {
		t.addRecord(record, now, out)
		return
	}
	if record.Incarnation < entry.record.Incarnation {
		t.counters.StaleRecords++
		return
	}
	heard := now.Add(-record.Age)
	if heard.After(entry.heard) {
		entry.heard = heard
	}
	if record.Incarnation > entry.record.Incarnation {
		t.replace(entry, record, now, out)
		return
	}
	t.worsen(entry, record, now, out)
	if record.Revision > entry.record.Revision {
		entry.record.Revision = record.Revision
		out.Changes = append(out.Changes, Change{Kind: ChangeRevision, Record: entry.record})
	}
}

// refute raises the own incarnation above a record that says otherwise.
func (t *Table) refute(record Record, out *Output) {
	if record.Incarnation < t.self.Incarnation {
		return
	}
	agrees := record.Health == Alive && (t.self.Leaving || !record.Leaving)
	if record.Incarnation == t.self.Incarnation && agrees {
		return
	}
	t.self.Incarnation = record.Incarnation + 1
	t.counters.Refutations++
	t.newsRounds = t.config.UpdateRounds
	out.Changes = append(out.Changes, Change{Kind: ChangeRefuted, Record: t.self})
}

// addRecord adds an instance that was not known.
func (t *Table) addRecord(record Record, now time.Time, out *Output) {
	if record.Age >= t.config.DeadRetention/acceptDivisor {
		t.counters.OldRecords++
		return
	}
	if record.Peer.DataCentre != t.self.Peer.DataCentre && !t.roomForForeign(record, now) {
		t.counters.ForeignDropped++
		return
	}
	entry := &memberEntry{record: record, heard: now.Add(-record.Age)}
	if record.Health == Suspect {
		entry.suspectedAt = now
	}
	t.addMember(entry)
	t.changed(entry, now, out)
}

// replace takes over a record of a higher incarnation.
func (t *Table) replace(entry *memberEntry, record Record, now time.Time, out *Output) {
	t.counters.RecordsReplaced++
	entry.record = record
	if record.Health == Suspect {
		entry.suspectedAt = now
	}
	t.changed(entry, now, out)
}

// worsen takes over the worse health and the leaving state of a record of the
// same incarnation.
func (t *Table) worsen(entry *memberEntry, record Record, now time.Time, out *Output) {
	leaving := entry.record.Leaving || record.Leaving
	health := max(entry.record.Health, record.Health)
	if leaving == entry.record.Leaving && health == entry.record.Health {
		return
	}
	if health == Suspect && entry.record.Health == Alive {
		entry.suspectedAt = now
	}
	entry.record.Leaving, entry.record.Health = leaving, health
	t.changed(entry, now, out)
}

// roomForForeign makes room for one more instance of another data centre. A
// dead one gives way first, then the one not heard for longest.
func (t *Table) roomForForeign(record Record, now time.Time) bool {
	var held []*memberEntry
	for _, name := range t.memberNames() {
		if entry := t.members[name]; entry.record.Peer.DataCentre == record.Peer.DataCentre {
			held = append(held, entry)
		}
	}
	if len(held) < t.config.MaxForeignPerCentre {
		return true
	}
	oldest := held[0]
	for _, entry := range held[1:] {
		if worse(entry, oldest) {
			oldest = entry
		}
	}
	if record.Health >= oldest.record.Health && !now.Add(-record.Age).After(oldest.heard) {
		return false
	}
	if oldest.record.Health == Alive && now.Sub(oldest.heard) < t.config.SuspicionTimeout {
		return false
	}
	t.removeMember(oldest.record.Peer.Instance)
	return true
}

func worse(a, b *memberEntry) bool {
	if a.record.Health != b.record.Health {
		return a.record.Health > b.record.Health
	}
	return a.heard.Before(b.heard)
}

// mergeNotice takes over a notice if it is newer than the known one.
func (t *Table) mergeNotice(notice Notice, now time.Time, out *Output) {
	if !notice.Kind.Valid() || notice.Name == "" {
		t.counters.InvalidItems++
		return
	}
	if !now.Before(notice.Expires) {
		return
	}
	entry, ok := t.notices[notice.NoticeKey]
	if ok && !notice.newerThan(entry.notice) {
		return
	}
	if !ok && len(t.notices) >= t.config.MaxNotices {
		t.counters.NoticesDropped++
		return
	}
	t.putNotice(notice, out)
}

// putNotice stores a notice and makes it urgent.
func (t *Table) putNotice(notice Notice, out *Output) {
	t.notices[notice.NoticeKey] = &noticeEntry{notice: notice, spread: spread{urgent: t.spreadLimit()}}
	t.newsRounds = t.config.UpdateRounds
	out.Changes = append(out.Changes, Change{Kind: ChangeNotice, Notice: notice})
}

// mergeReport takes over a report if it is newer than the known one.
func (t *Table) mergeReport(report Report, out *Output) {
	if report.Source == "" || len(report.Demand) > t.config.MaxDemandEntries {
		t.counters.InvalidItems++
		return
	}
	if !report.Summary && report.Source == t.self.Peer.Instance {
		return
	}
	entry, ok := t.reports[report.key()]
	if ok && !report.newerThan(entry.report) {
		return
	}
	if !ok {
		entry = &reportEntry{}
		t.reports[report.key()] = entry
	}
	entry.report = report
	out.Changes = append(out.Changes, Change{Kind: ChangeReport})
}

func compareNoticeKeys(a, b NoticeKey) int {
	if order := cmp.Compare(a.Kind, b.Kind); order != 0 {
		return order
	}
	return strings.Compare(a.Name, b.Name)
}
