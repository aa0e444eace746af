package poison

import (
	"slices"
	"time"
)

// quarantines holds the quarantines by their first key.
type quarantines struct {
	settings Settings
	byKey    map[Key][]*Quarantine
	count    int
}

// until returns the end of a quarantine.
func (s *quarantines) until(q *Quarantine) time.Time {
	return q.Since.Add(s.settings.quarantineTime(q.Renewals))
}

// probationEnd returns until when one crash renews a quarantine that has ended.
func (s *quarantines) probationEnd(q *Quarantine) time.Time {
	return s.until(q).Add(max(s.settings.quarantineTime(q.Renewals), s.settings.MinProbation))
}

// onProbation reports whether a quarantine has ended not long ago, so that one crash renews it.
func (s *quarantines) onProbation(now time.Time, q *Quarantine) bool {
	return !now.Before(s.until(q)) && now.Before(s.probationEnd(q))
}

// find returns the quarantine that a request matches and for which accepts returns true; nil for none.
func (s *quarantines) find(run Run, accepts func(q *Quarantine) bool) *Quarantine {
	for _, key := range run.keys() {
		for _, q := range s.byKey[key] {
			if q.matches(run) && accepts(q) {
				return q
			}
		}
	}
	return nil
}

// put adds a quarantine, or renews one with the same keys. It reports whether it was new. The oldest one
// is dropped when there are MaxQuarantines.
func (s *quarantines) put(added Quarantine) bool {
	first := added.Keys[0]
	for _, q := range s.byKey[first] {
		if slices.Equal(q.Keys, added.Keys) {
			if added.Since.Before(s.until(q)) {
				return false
			}
			q.Since, q.Renewals = added.Since, added.Renewals
			return true
		}
	}
	if s.count >= s.settings.MaxQuarantines {
		s.removeOldest()
	}
	s.byKey[first] = append(s.byKey[first], &Quarantine{Keys: slices.Clone(added.Keys), Since: added.Since, Renewals: added.Renewals})
	s.count++
	return true
}

func (s *quarantines) removeOldest() {
	var oldest *Quarantine
	for _, kept := range s.byKey {
		for _, q := range kept {
			if oldest == nil || q.Since.Before(oldest.Since) {
				oldest = q
			}
		}
	}
	s.remove(oldest)
}

func (s *quarantines) remove(removed *Quarantine) {
	first := removed.Keys[0]
	s.byKey[first] = slices.DeleteFunc(s.byKey[first], func(q *Quarantine) bool { return q == removed })
	if len(s.byKey[first]) == 0 {
		delete(s.byKey, first)
	}
	s.count--
}

// removeKey removes a key that a run without a crash clears from all quarantines, and those that have no other. It
// reports whether there were any.
func (s *quarantines) removeKey(run CleanRun) bool {
	removed := false
	for _, q := range s.all() {
		if !slices.Contains(q.Keys, run.Key) || !run.clears(q.Since, s.settings) {
			continue
		}
		s.remove(q)
		removed = true
		if rest := slices.DeleteFunc(slices.Clone(q.Keys), func(key Key) bool { return key == run.Key }); len(rest) > 0 {
			s.put(Quarantine{Keys: rest, Since: q.Since, Renewals: q.Renewals})
		}
	}
	return removed
}

// all returns all quarantines, also those that have ended, in any order.
func (s *quarantines) all() []*Quarantine {
	var all []*Quarantine
	for _, kept := range s.byKey {
		all = append(all, kept...)
	}
	return all
}

// current returns the quarantines that are in force or on probation, oldest first.
func (s *quarantines) current(now time.Time) []Quarantine {
	var all []Quarantine
	for _, q := range s.all() {
		if now.Before(s.probationEnd(q)) {
			all = append(all, Quarantine{Keys: slices.Clone(q.Keys), Since: q.Since, Renewals: q.Renewals})
		}
	}
	slices.SortFunc(all, func(a, b Quarantine) int {
		if order := a.Since.Compare(b.Since); order != 0 {
			return order
		}
		return slices.Compare(a.Keys, b.Keys)
	})
	return all
}
