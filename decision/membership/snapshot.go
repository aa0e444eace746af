package membership

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is the view of one instance at one time. It must not be modified.
type Snapshot struct {
	// Taken is when the snapshot was made.
	Taken time.Time `json:"taken"`
	Self  Record    `json:"self"`
	// Members holds the other known instances in the order of their names.
	Members []Record `json:"members"`
	// Notices holds the drains and quarantines in force.
	Notices []Notice `json:"notices"`
	// Reports holds the demand of the instances of this data centre and the
	// summaries of the others.
	Reports []Report `json:"reports"`

	liveByCentre      map[string][]string
	noticesByKey      map[NoticeKey]Notice
	recordsByInstance map[string]Record
}

// Snapshot returns the current view.
func (t *Table) Snapshot(now time.Time) *Snapshot {
	view := &Snapshot{Taken: now, Self: t.self}
	for _, name := range t.memberNames() {
		view.Members = append(view.Members, t.aged(t.members[name], now))
	}
	for _, key := range t.noticeKeys() {
		if notice := t.notices[key].notice; notice.Active(now) {
			view.Notices = append(view.Notices, notice)
		}
	}
	for _, entry := range t.reports {
		if source, ok := t.members[entry.report.Source]; !entry.report.Summary && ok && source.record.Health == Dead {
			continue
		}
		view.Reports = append(view.Reports, entry.report)
	}
	slices.SortFunc(view.Reports, func(a, b Report) int { return compareReportKeys(a.key(), b.key()) })
	return view.Indexed()
}

// Indexed builds the indexes that the methods use from the exported fields, and
// returns the snapshot. Callers that fill in the fields themselves must call it
// first.
func (s *Snapshot) Indexed() *Snapshot {
	s.liveByCentre = make(map[string][]string)
	s.noticesByKey = make(map[NoticeKey]Notice)
	s.recordsByInstance = make(map[string]Record)
	s.addMember(s.Self)
	for _, record := range s.Members {
		s.addMember(record)
	}
	for _, names := range s.liveByCentre {
		slices.Sort(names)
	}
	for _, notice := range s.Notices {
		s.noticesByKey[notice.NoticeKey] = notice
	}
	return s
}

func (s *Snapshot) addMember(record Record) {
	s.recordsByInstance[record.Peer.Instance] = record
	if record.Live() {
		centre := record.Peer.DataCentre
		s.liveByCentre[centre] = append(s.liveByCentre[centre], record.Peer.Instance)
	}
}

// Record returns the record of an instance.
func (s *Snapshot) Record(instance string) (Record, bool) {
	record, ok := s.recordsByInstance[instance]
	return record, ok
}

// Live returns the names of the live instances of a data centre in order, this
// instance included. Only a few instances of other data centres are known.
func (s *Snapshot) Live(dataCentre string) []string { return s.liveByCentre[dataCentre] }

// LiveInRegion returns the names of the known live instances of a region in order.
func (s *Snapshot) LiveInRegion(region string) []string {
	var names []string
	for name, record := range s.recordsByInstance {
		if record.Live() && record.Peer.Region == region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HasNotice reports whether a drain or quarantine of the object is in force at the given time.
func (s *Snapshot) HasNotice(kind NoticeKind, name string, now time.Time) bool {
	notice, ok := s.noticesByKey[NoticeKey{Kind: kind, Name: name}]
	return ok && notice.Active(now)
}

// Notice returns the drain or quarantine of the object that was in force when
// the snapshot was taken.
func (s *Snapshot) Notice(kind NoticeKind, name string) (Notice, bool) {
	notice, ok := s.noticesByKey[NoticeKey{Kind: kind, Name: name}]
	return notice, ok
}

// Quarantines returns the quarantines in force in the order of their names.
func (s *Snapshot) Quarantines() []Notice {
	var list []Notice
	for _, notice := range s.Notices {
		if notice.Kind == NoticeQuarantine {
			list = append(list, notice)
		}
	}
	return list
}

// DemandOf returns the demand of every other source for a client account: each
// instance of this data centre by itself, every other data centre as a whole.
func (s *Snapshot) DemandOf(account AccountID) []SourceDemand {
	var list []SourceDemand
	for _, report := range s.Reports {
		if report.Source == s.Self.Peer.Instance || (report.Summary && report.Source == s.Self.Peer.DataCentre) {
			continue
		}
		for _, demand := range report.Demand {
			if demand.Account == account {
				list = append(list, SourceDemand{Source: report.Source, Summary: report.Summary, Demand: demand})
			}
		}
	}
	slices.SortFunc(list, func(a, b SourceDemand) int { return cmp.Compare(a.Source, b.Source) })
	return list
}

// SourceDemand is the demand of one source for one client account.
type SourceDemand struct {
	Source string `json:"source"`
	// Summary means that the source is a data centre.
	Summary bool   `json:"whole,omitempty"`
	Demand  Demand `json:"demand"`
}
