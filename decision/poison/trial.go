package poison

import (
	"slices"
	"time"
)

// Place is the position of an instance among all instances, from 0, and their number. Instances should have
// different positions.
type Place struct {
	Rank      int
	Instances int
}

// Admit is Check for a request that has just arrived. After a quarantine the first requests are trials: groups of
// instances take turns with them, each instance with one at a time, so that few servers crash if it is renewed.
func (t *Table) Admit(now time.Time, run Run, place Place) Verdict {
	if verdict := t.Check(now, run); verdict.Rejected {
		return verdict
	}
	q := t.quarantines.find(run, func(q *Quarantine) bool { return t.quarantines.onProbation(now, q) })
	if q == nil {
		return Verdict{}
	}
	if begin := t.nextTrial(now, q, place); now.Before(begin) {
		return Verdict{Rejected: true, Until: begin, Keys: slices.Clone(q.Keys)}
	}
	q.trialAt = now
	return Verdict{}
}

// trialGroups is the number of groups of instances that take turns with trials, if there are as many instances.
const trialGroups = 16

// nextTrial returns when the instance at a place may send the next request as a trial after a quarantine: a time in the
// turn of its group, which lasts for TrialTime, but not twice in one turn. Which group is first differs between quarantines.
func (t *Table) nextTrial(now time.Time, q *Quarantine, place Place) time.Time {
	groups := min(max(1, place.Instances), trialGroups)
	turn := (max(0, place.Rank) + int(uint64(q.Keys[0])%trialGroups)) % groups
	end, length := t.quarantines.until(q), t.settings.TrialTime
	current := int(now.Sub(end) / length)
	if next := current + (turn-current%groups+groups)%groups; next > current {
		return end.Add(time.Duration(next) * length)
	}
	if q.trialAt.Before(end.Add(time.Duration(current) * length)) {
		return now
	}
	return end.Add(time.Duration(current+groups) * length)
}
