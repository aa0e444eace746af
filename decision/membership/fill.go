package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

const (
	// noticeShare and reportShare are the fractions of a digest's free bytes
	// that notices and reports may take.
	noticeShare = 0.4
	reportShare = 0.35
	// urgentSendFactor multiplies the binary logarithm of the number of instances.
	urgentSendFactor = 2
	// exchangesPerSummary is the number of exchanges between two summaries.
	exchangesPerSummary = 2
)

// candidate is an item that may go into a digest.
type candidate struct {
	state *sendState
	size  int
	add   func(*Digest)
}

// newDigest returns a digest with this instance's record and the next sequence.
func (t *Table) newDigest(kind DigestKind, to string) Digest {
	t.sequence++
	return Digest{Kind: kind, From: t.self, To: to, Sequence: t.sequence}
}

// send counts the digest's bytes and adds it to the output.
func (t *Table) send(address string, digest Digest, out *Output) {
	bytes := digest.Size() + DatagramHeaderBytes
	t.bucket.take(bytes)
	t.counters.BytesSent += uint64(bytes)
	out.Sends = append(out.Sends, Send{Address: address, Digest: digest})
}

// urgentSends returns the number of sends for which a changed item stays
// urgent: enough to reach every instance of the data centre with a large margin.
func (t *Table) urgentSends() int {
	return urgentSendFactor * (bits.Len(uint(len(t.members))) + 1)
}

// fillDigest adds notices, reports and records until the digest has limit bytes.
func (t *Table) fillDigest(digest *Digest, to settings.Peer, limit int, now time.Time) {
	room := limit - digest.Size()
	total := float64(room)
	room -= t.fill(digest, t.recordAbout(to, now), room)
	room -= t.fill(digest, t.noticeCandidates(to, false), min(room, int(noticeShare*total)))
	room -= t.fill(digest, t.reportCandidates(to), min(room, int(reportShare*total)))
	t.fill(digest, t.recordCandidates(to, now, false), room)
}

// fillUpdate adds urgent notices and records only.
func (t *Table) fillUpdate(digest *Digest, to settings.Peer, now time.Time) {
	room := t.config.MaxUpdateBytes - digest.Size()
	room -= t.fill(digest, t.noticeCandidates(to, true), room)
	t.fill(digest, t.recordCandidates(to, now, true), room)
}

// fill adds the candidates that fit into room bytes, the most urgent first, and
// returns the bytes used.
func (t *Table) fill(digest *Digest, candidates []candidate, room int) int {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if order := cmp.Compare(b.state.urgent, a.state.urgent); order != 0 {
			return order
		}
		return cmp.Compare(a.state.lastSent, b.state.lastSent)
	})
	used := 0
	for _, item := range candidates {
		if used+item.size > room {
			continue
		}
		used += item.size
		t.itemsSent++
		item.state.lastSent = t.itemsSent
		item.state.urgent = max(0, item.state.urgent-1)
		item.add(digest)
	}
	return used
}

// recordAbout returns the receiver's own record if the receiver has to refute it.
func (t *Table) recordAbout(to settings.Peer, now time.Time) []candidate {
	entry, ok := t.members[to.Instance]
	if !ok || entry.record.Health == Alive {
		return nil
	}
	return []candidate{t.recordCandidate(entry, now)}
}

func (t *Table) recordCandidate(entry *memberEntry, now time.Time) candidate {
	return candidate{state: &entry.sendState, size: recordSize(entry.record), add: func(d *Digest) {
		d.Records = append(d.Records, t.aged(entry, now))
	}}
}

// recordCandidates returns the records that the receiver may need. A receiver
// in another data centre gets only the bridges of this data centre and the known
// instances of its own, so that separated instances find each other again.
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

// namesForForeign returns the bridges of this data centre and the known live
// instances of the other one.
func (t *Table) namesForForeign(centre string) []string {
	local := t.liveNames(t.self.Peer.DataCentre)
	names := rendezvous.Top(bridgeKey+t.self.Peer.DataCentre, local, t.config.Bridges)
	return append(names, t.liveNames(centre)...)
}

// noticeCandidates returns the notices that the receiver may get: no local ones
// if it is in another data centre.
func (t *Table) noticeCandidates(to settings.Peer, urgentOnly bool) []candidate {
	foreign := to.DataCentre != t.self.Peer.DataCentre
	var list []candidate
	for _, key := range t.noticeKeys() {
		entry := t.notices[key]
		if (foreign && entry.notice.Local) || (urgentOnly && entry.urgent == 0) {
			continue
		}
		notice := entry.notice
		list = append(list, candidate{state: &entry.sendState, size: noticeSize(notice), add: func(d *Digest) {
			d.Notices = append(d.Notices, notice)
		}})
	}
	return list
}

// reportCandidates returns the reports that the receiver may get, with this
// instance's report first. A receiver in another data centre gets only the
// summary of this data centre.
func (t *Table) reportCandidates(to settings.Peer) []candidate {
	foreign := to.DataCentre != t.self.Peer.DataCentre
	keys := make([]reportKey, 0, len(t.reports))
	for key := range t.reports {
		if !foreign || (key.summary && key.source == t.self.Peer.DataCentre) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareReportKeys)
	list := make([]candidate, 0, len(keys))
	for _, key := range keys {
		entry := t.reports[key]
		if !key.summary && key.source == t.self.Peer.Instance {
			entry.urgent = 1
		}
		report := entry.report
		list = append(list, candidate{state: &entry.sendState, size: reportSize(report), add: func(d *Digest) {
			d.Reports = append(d.Reports, report)
		}})
	}
	return list
}

func compareReportKeys(a, b reportKey) int {
	if a.summary != b.summary {
		if a.summary {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.source, b.source)
}
