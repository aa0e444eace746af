package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// apply remembers the listed peers that are not known yet.
func (l Listed) apply(t *Table, _ time.Time, _ *Output) {
	t.proposed = t.proposed[:0]
	for _, peer := range l.Peers {
		if peer.Instance != t.self.Peer.Instance && peer.Gossip != "" {
			t.proposed = append(t.proposed, peer)
		}
	}
	slices.SortFunc(t.proposed, func(a, b settings.Peer) int { return cmp.Compare(a.Instance, b.Instance) })
}

// apply spreads a higher revision at once.
func (s SetRevision) apply(t *Table, _ time.Time, out *Output) {
	if s.Revision <= t.self.Revision {
		return
	}
	t.self.Revision = s.Revision
	t.newsRounds = t.config.UpdateRounds
	out.Changes = append(out.Changes, Change{Kind: ChangeRevision, Record: t.self})
}

// apply replaces the own report.
func (s SetDemand) apply(t *Table, _ time.Time, out *Output) {
	demand := s.Demand[:min(len(s.Demand), t.config.MaxDemandEntries)]
	t.reportStamp++
	report := Report{
		Source:  t.self.Peer.Instance,
		Epoch:   t.self.Incarnation,
		Version: t.reportStamp,
		Demand:  slices.Clone(demand),
	}
	t.reports[report.key()] = &reportEntry{report: report}
	out.Changes = append(out.Changes, Change{Kind: ChangeReport})
}

// Bounds of the texts of a notice, in bytes, so that it fits into a digest.
const (
	maxNoticeName   = 100
	maxNoticeReason = 60
)

// apply stamps and publishes a notice. A notice that says what is known
// already changes nothing, so that many instances may post the same one.
func (p Post) apply(t *Table, now time.Time, out *Output) {
	notice := p.Notice
	if !notice.Kind.Valid() || notice.Name == "" || len(notice.Name) > maxNoticeName || !now.Before(notice.Expires) {
		t.counters.InvalidItems++
		return
	}
	notice.Reason = notice.Reason[:min(len(notice.Reason), maxNoticeReason)]
	entry, ok := t.notices[notice.NoticeKey]
	if ok && entry.notice.Withdrawn == notice.Withdrawn && !notice.Expires.After(entry.notice.Expires) {
		return
	}
	if !ok && len(t.notices) >= t.config.MaxNotices {
		t.counters.NoticesDropped++
		return
	}
	notice.Stamp, notice.Origin = 1, t.self.Peer.Instance
	if ok {
		notice.Stamp = entry.notice.Stamp + 1
		if entry.notice.Expires.After(notice.Expires) {
			notice.Expires = entry.notice.Expires
		}
	}
	t.putNotice(notice, out)
}

// apply marks the own record as leaving.
func (Leave) apply(t *Table, _ time.Time, out *Output) {
	if t.self.Leaving {
		return
	}
	t.self.Leaving = true
	t.self.Incarnation++
	t.newsRounds = t.config.UpdateRounds
	out.Changes = append(out.Changes, Change{Kind: ChangeHealth, Record: t.self})
}

// apply merges the records that another instance knows.
func (in Introduced) apply(t *Table, now time.Time, out *Output) {
	for _, record := range in.Records {
		t.mergeRecord(record, now, out)
	}
}
