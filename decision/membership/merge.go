package membership

import (
	"cmp"
	"strings"
	"time"
)

// maxAddAgeDivisor divides Config.DeadRetention into the age below which a record can
// add an instance. The margin to the age at which an instance is removed covers
// digests with a long transit time.
const maxAddAgeDivisor = 2

// apply merges a digest and replies to a probe.
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
		t.reply(digest, now, out)
	case Reply:
		t.completeProbe(digest)
	case Update:
	}
}

// admit checks the receiver, the incarnation, the freshness and the sequence of
// a digest and merges the sender's own record. It reports whether the digest is
// accepted.
func (t *Table) admit(digest Digest, now time.Time, out *Output) bool {
	from := digest.From.Peer.Instance
	if digest.To != t.self.Peer.Instance || from == "" || from == t.self.Peer.Instance {
		t.counters.Misdirected++
		return false
	}
	known, ok := t.members[from]
	if ok && digest.From.Incarnation < known.record.Incarnation {
		t.counters.StaleSender++
		t.sendKnownIncarnation(digest, known, now, out)
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

// fresh reports whether the digest can't be a replay of an old one: either its
// sender answered a probe before, so that the replay window decides, or the
// digest answers a probe of this process.
func (t *Table) fresh(digest Digest, known *memberEntry) bool {
	if known != nil && known.proven {
		return true
	}
	waiting, ok := t.probes[digest.ProbeSequence]
	return ok && digest.Kind == Reply && waiting.peer.Instance == digest.From.Peer.Instance
}

// challenge replies to an unproven sender with this instance's record only and
// probes it unless a probe to it is already waiting.
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

// sendKnownIncarnation replies to an instance that restarted with its clock set
// back. The reply holds the instance's known incarnation, so that it can raise its
// own above it.
func (t *Table) sendKnownIncarnation(digest Digest, known *memberEntry, now time.Time, out *Output) {
	if digest.Kind != Probe {
		return
	}
	reply := t.newDigest(Reply, digest.From.Peer.Instance)
	reply.ProbeSequence = digest.Sequence
	reply.Records = []Record{t.aged(known, now)}
	t.send(digest.From.Peer.Gossip, reply, out)
}

// mergeRecord takes over what is newer in a record than in the known one.
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
	lastUp := now.Add(-record.Age)
	if lastUp.After(entry.lastUp) {
		entry.lastUp = lastUp
	}
	if record.Incarnation > entry.record.Incarnation {
		t.replace(entry, record, now, out)
		return
	}
	t.mergeHealth(entry, record, now, out)
	if record.Revision > entry.record.Revision {
		entry.record.Revision = record.Revision
		out.Changes = append(out.Changes, Change{Kind: ChangeRevision, Record: entry.record})
	}
}

// refute raises this instance's incarnation above that of a record about itself
// that contradicts its state.
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
	t.updateRounds = t.config.UpdateRounds
	out.Changes = append(out.Changes, Change{Kind: ChangeRefuted, Record: t.self})
}

// addRecord adds an instance that is not in the table yet, unless its record is
// too old or its data centre has no room.
func (t *Table) addRecord(record Record, now time.Time, out *Output) {
	if record.Age >= t.config.DeadRetention/maxAddAgeDivisor {
		t.counters.OldRecords++
		return
	}
	if record.Peer.DataCentre != t.self.Peer.DataCentre && !t.makeRoomForForeign(record, now) {
		t.counters.ForeignDropped++
		return
	}
	entry := &memberEntry{record: record, lastUp: now.Add(-record.Age)}
	if record.Health == Suspect {
		entry.suspectedAt = now
	}
	t.addMember(entry)
	t.publishRecord(entry, now, out)
}

// replace takes over a record of a higher incarnation.
func (t *Table) replace(entry *memberEntry, record Record, now time.Time, out *Output) {
	t.counters.RecordsReplaced++
	entry.record = record
	if record.Health == Suspect {
		entry.suspectedAt = now
	}
	t.publishRecord(entry, now, out)
}

// mergeHealth takes over the worse health and the leaving state from a record of the
// same incarnation.
func (t *Table) mergeHealth(entry *memberEntry, record Record, now time.Time, out *Output) {
	leaving := entry.record.Leaving || record.Leaving
	health := max(entry.record.Health, record.Health)
	if leaving == entry.record.Leaving && health == entry.record.Health {
		return
	}
	if health == Suspect && entry.record.Health == Alive {
		entry.suspectedAt = now
	}
	entry.record.Leaving, entry.record.Health = leaving, health
	t.publishRecord(entry, now, out)
}

// makeRoomForForeign makes room for one more instance of another data centre and
// reports whether there is room. It evicts the instance with the worst health,
// and among equals the one that was last known to be up the longest ago.
func (t *Table) makeRoomForForeign(record Record, now time.Time) bool {
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
		if evictedBefore(entry, oldest) {
			oldest = entry
		}
	}
	if record.Health >= oldest.record.Health && !now.Add(-record.Age).After(oldest.lastUp) {
		return false
	}
	if oldest.record.Health == Alive && now.Sub(oldest.lastUp) < t.config.SuspicionTimeout {
		return false
	}
	t.removeMember(oldest.record.Peer.Instance)
	return true
}

// evictedBefore reports whether a is evicted before b.
func evictedBefore(a, b *memberEntry) bool {
	if a.record.Health != b.record.Health {
		return a.record.Health > b.record.Health
	}
	return a.lastUp.Before(b.lastUp)
}

// mergeNotice takes over a notice if it is newer than the stored one.
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
	t.notices[notice.NoticeKey] = &noticeEntry{notice: notice, sendState: sendState{urgent: t.urgentSends()}}
	t.updateRounds = t.config.UpdateRounds
	out.Changes = append(out.Changes, Change{Kind: ChangeNotice, Notice: notice})
}

// mergeReport takes over a report if it is newer than the stored one.
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
