package membership

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is the view of one instance at one time. It must not be changed.
type Snapshot struct {
	// Taken is when the snapshot was made.
	Taken time.Time `json:"taken"`
	Self  Record    `json:"self"`
	// Members holds the other known instances in the order of their names.
	Members []Record `json:"members"`
	// Notices holds the leaving marks and quarantines in force.
	Notices []Notice `json:"notices"`
	// Reports holds the demand of the instances of this data centre and the
	// summaries of the others.
	Reports []Report `json:"reports"`

	live    map[string][]string
	marks   map[NoticeKey]Notice
	records map[string]Record
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

// Indexed prepares a snapshot whose fields were filled in by hand for its
// methods and returns it.
func (s *Snapshot) Indexed() *Snapshot {
	s.live = make(map[string][]string)
	s.marks = make(map[NoticeKey]Notice)
	s.records = make(map[string]Record)
	s.addMember(s.Self)
	for _, record := range s.Members {
		s.addMember(record)
	}
	for _, names := range s.live {
		slices.Sort(names)
	}
	for _, notice := range s.Notices {
		s.marks[notice.NoticeKey] = notice
	}
	return s
}

func (s *Snapshot) addMember(record Record) {
	s.records[record.Peer.Instance] = record
	if record.Live() {
		centre := record.Peer.DataCentre
		s.live[centre] = append(s.live[centre], record.Peer.Instance)
	}
}

// Record returns the record of an instance.
func (s *Snapshot) Record(instance string) (Record, bool) {
	record, ok := s.records[instance]
	return record, ok
}

// Live returns the live instances of a data centre in order, this instance
// included. Of other data centres only a few are known.
func (s *Snapshot) Live(dataCentre string) []string { return s.live[dataCentre] }

// LiveInRegion returns the known live instances of a region in order.
func (s *Snapshot) LiveInRegion(region string) []string {
	var names []string
	for name, record := range s.records {
		if record.Live() && record.Peer.Region == region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Marked reports whether a leaving mark or quarantine holds at the time.
func (s *Snapshot) HasNotice(kind NoticeKind, name string, now time.Time) bool {
	notice, ok := s.marks[NoticeKey{Kind: kind, Name: name}]
	return ok && notice.Active(now)
}

// Notice returns the leaving mark or quarantine in force on a subject.
func (s *Snapshot) Notice(kind NoticeKind, name string) (Notice, bool) {
	notice, ok := s.marks[NoticeKey{Kind: kind, Name: name}]
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

// DemandOf returns the demand of every source for a client account: the other
// instances of this data centre one by one, other data centres as a whole.
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
	// Whole means that the source is a data centre.
	Summary bool   `json:"whole,omitempty"`
	Demand  Demand `json:"demand"`
}
