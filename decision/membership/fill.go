package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Parts of a digest's room that notices and reports may take.
const (
	noticeShare   = 0.4
	reportShare   = 0.35
	spreadFactor  = 2
	summaryPeriod = 2
)

// candidate is an item that may go into a digest.
type candidate struct {
	spread *spread
	size   int
	add    func(*Digest)
}

// newDigest returns a digest with the own record and the next sequence.
func (t *Table) newDigest(kind DigestKind, to string) Digest {
	t.sequence++
	return Digest{Kind: kind, From: t.self, To: to, Sequence: t.sequence}
}

// send counts the digest's bytes and hands it out.
func (t *Table) send(address string, digest Digest, out *Output) {
	bytes := digest.Size() + DatagramHeaderBytes
	t.bucket.take(bytes)
	t.counters.BytesSent += uint64(bytes)
	out.Sends = append(out.Sends, Send{Address: address, Digest: digest})
}

// spreadLimit is how many sends an item stays urgent for: enough to reach
// every instance of the data centre with a large margin.
func (t *Table) spreadLimit() int {
	return spreadFactor * (bits.Len(uint(len(t.members))) + 1)
}

// fillDigest adds notices, reports and records up to the size.
func (t *Table) fillDigest(digest *Digest, to settings.Peer, limit int, now time.Time) {
	room := limit - digest.Size()
	total := float64(room)
	room -= t.fill(digest, t.recordAbout(to, now), room)
	room -= t.fill(digest, t.noticeCandidates(to, false), min(room, int(noticeShare*total)))
	room -= t.fill(digest, t.reportCandidates(to), min(room, int(reportShare*total)))
	t.fill(digest, t.recordCandidates(to, now, false), room)
}

// fillNews adds the urgent notices and records only.
func (t *Table) fillNews(digest *Digest, to settings.Peer, now time.Time) {
	room := t.config.MaxUpdateBytes - digest.Size()
	room -= t.fill(digest, t.noticeCandidates(to, true), room)
	t.fill(digest, t.recordCandidates(to, now, true), room)
}

// fill adds candidates in order of urgency while they fit into the room and
// returns the bytes used.
func (t *Table) fill(digest *Digest, candidates []candidate, room int) int {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if order := cmp.Compare(b.spread.urgent, a.spread.urgent); order != 0 {
			return order
		}
		return cmp.Compare(a.spread.lastSent, b.spread.lastSent)
	})
	used := 0
	for _, item := range candidates {
		if used+item.size > room {
			continue
		}
		used += item.size
		t.sends++
		item.spread.lastSent = t.sends
		item.spread.urgent = max(0, item.spread.urgent-1)
		item.add(digest)
	}
	return used
}

// recordAbout returns the record of the receiver if it has to refute it.
func (t *Table) recordAbout(to settings.Peer, now time.Time) []candidate {
	entry, ok := t.members[to.Instance]
	if !ok || entry.record.Health == Alive {
		return nil
	}
	return []candidate{t.recordCandidate(entry, now)}
}

func (t *Table) recordCandidate(entry *memberEntry, now time.Time) candidate {
	return candidate{spread: &entry.spread, size: recordSize(entry.record), add: func(d *Digest) {
		d.Records = append(d.Records, t.aged(entry, now))
	}}
}

// recordCandidates returns the records that the receiver may need. Another
// data centre gets only the bridges of this one and what is known of its own
// instances, so that instances that lost each other meet again.
func (t *Table) recordCandidates(to settings.Peer, now time.Time, urgentOnly bool) []candidate {
	names := t.memberNames()
	if to.DataCentre != t.self.Peer.DataCentre {
		names = t.namesForForeign(to.DataCentre)
	}
	var list []candidate
	for _, name := range names {
		entry, ok := t.members[name]
		if !ok || name == to.Instance || (urgentOnly && entry.urgent == 0) {
			continue
		}
		list = append(list, t.recordCandidate(entry, now))
	}
	return list
}

// namesForForeign returns the bridges of the own data centre and the known
// instances of the other one.
func (t *Table) namesForForeign(centre string) []string {
	local := t.liveNames(t.self.Peer.DataCentre)
	names := rendezvous.Top(bridgeKey+t.self.Peer.DataCentre, local, t.config.Bridges)
	return append(names, t.liveNames(centre)...)
}

// noticeCandidates returns the notices that the receiver may get.
func (t *Table) noticeCandidates(to settings.Peer, urgentOnly bool) []candidate {
	foreign := to.DataCentre != t.self.Peer.DataCentre
	var list []candidate
	for _, key := range t.noticeKeys() {
		entry := t.notices[key]
		if (foreign && entry.notice.Local) || (urgentOnly && entry.urgent == 0) {
			continue
		}
		notice := entry.notice
		list = append(list, candidate{spread: &entry.spread, size: noticeSize(notice), add: func(d *Digest) {
			d.Notices = append(d.Notices, notice)
		}})
	}
	return list
}

// reportCandidates returns the reports that the receiver may get, the own one
// first. Another data centre gets only the summary of this one.
func (t *Table) reportCandidates(to settings.Peer) []candidate {
	foreign := to.DataCentre != t.self.Peer.DataCentre
	keys := make([]reportKey, 0, len(t.reports))
	for key := range t.reports {
		if !foreign || (key.whole && key.source == t.self.Peer.DataCentre) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareReportKeys)
	list := make([]candidate, 0, len(keys))
	for _, key := range keys {
		entry := t.reports[key]
		if !key.whole && key.source == t.self.Peer.Instance {
			entry.urgent = 1
		}
		report := entry.report
		list = append(list, candidate{spread: &entry.spread, size: reportSize(report), add: func(d *Digest) {
			d.Reports = append(d.Reports, report)
		}})
	}
	return list
}

func compareReportKeys(a, b reportKey) int {
	if a.whole != b.whole {
		if a.whole {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.source, b.source)
}
