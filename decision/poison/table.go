package poison

import (
	"slices"
	"time"
)

// Table holds what one instance knows. It is not safe for concurrent use.
type Table struct {
	settings    Settings
	records     *records
	quarantines *quarantines
	cleanRuns   *cleanRuns
	crashNews   announcements[Crash]
	cleanNews   announcements[CleanRun]
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings:    settings,
		records:     &records{settings: settings, byKey: make(map[Key]*record)},
		quarantines: &quarantines{settings: settings, byKey: make(map[Key][]*Quarantine)},
		cleanRuns:   newCleanRuns(settings),
	}
}

// Check returns whether a request is rejected now.
func (t *Table) Check(now time.Time, run Run) Verdict {
	q := t.quarantines.find(run, func(q *Quarantine) bool { return now.Before(t.quarantines.until(q)) })
	if q == nil {
		return Verdict{}
	}
	return Verdict{Rejected: true, Until: t.quarantines.until(q), Keys: slices.Clone(q.Keys)}
}

// Suspects returns those of the runs that a server's crash is put down to: the ones against whose requests most crashes count
// already. Others ran beside the cause.
func (t *Table) Suspects(runs []Run) []Run {
	most := 0
	counts := make([]int, len(runs))
	for i, run := range runs {
		if r := t.records.byKey[run.Request]; r != nil {
			counts[i] = len(r.crashes)
		}
		most = max(most, counts[i])
	}
	var suspects []Run
	for i, run := range runs {
		if counts[i] == most {
			suspects = append(suspects, run)
		}
	}
	return suspects
}

// AddCrash adds a crash and reports whether it was new and counts. One of a request that was quarantined then doesn't.
func (t *Table) AddCrash(now time.Time, crash Crash) bool {
	if now.Sub(crash.At) > t.settings.CrashLifetime || t.Check(crash.At, crash.Run).Rejected {
		return false
	}
	renewed := t.quarantines.find(crash.Run, func(q *Quarantine) bool { return t.quarantines.onProbation(crash.At, q) })
	if renewed != nil {
		renewed.Since, renewed.Renewals = crash.At, renewed.Renewals+1
	} else if !t.count(now, crash) {
		return false
	}
	t.crashNews.add(now, crash, t.settings.MaxNews)
	return true
}

// count counts a crash against the request and its parts, and quarantines them if it is enough. It reports
// whether it was new for any of them.
func (t *Table) count(now time.Time, crash Crash) bool {
	counted := false
	for _, key := range crash.Run.keys() {
		if t.isCleared(now, key, crash.At) {
			continue
		}
		spacing := time.Duration(0)
		if key != crash.Run.Request {
			spacing = t.settings.SimultaneousTime
		}
		entry := countedCrash{server: crash.Server, request: crash.Run.Request, parts: crash.Run.Parts, at: crash.At}
		counted = t.records.get(now, key).add(entry, t.settings.JoinTime, spacing) || counted
	}
	if counted {
		t.quarantineRequest(crash)
		t.quarantineParts(now, crash)
	}
	return counted
}

// quarantineRequest quarantines the request of a crash if enough count against it.
func (t *Table) quarantineRequest(crash Crash) {
	key := crash.Run.Request
	if r := t.records.byKey[key]; r != nil && len(r.crashes) >= t.settings.Threshold {
		delete(t.records.byKey, key)
		t.quarantines.put(Quarantine{Keys: []Key{key}, Since: crash.At, Renewals: maxRenewals})
	}
}

// quarantineParts quarantines the combination of those parts against which enough crashes under several requests
// count. Which of them is the cause is not known: requests that hold only some of them are still sent, and a run
// without a crash removes its parts from the combination.
func (t *Table) quarantineParts(now time.Time, crash Crash) {
	var suspects []Key
	for _, key := range crash.Run.Parts {
		r := t.records.byKey[key]
		if r != nil && len(r.crashes) >= t.settings.Threshold && r.requests() >= t.settings.MinRequests {
			suspects = append(suspects, key)
		}
	}
	if len(suspects) == 0 || t.otherCause(now, crash, suspects) {
		return
	}
	slices.Sort(suspects)
	t.quarantines.put(Quarantine{Keys: slices.Compact(suspects), Since: crash.At})
	for _, key := range suspects {
		// More crashes under requests without the other parts show that this one alone is the cause.
		t.records.byKey[key].keepNewest()
	}
}

// otherCause reports whether the crashes that count against parts of a request may be due to a part that this request
// doesn't hold: it may only have run beside the cause.
func (t *Table) otherCause(now time.Time, crash Crash, suspects []Key) bool {
	for _, suspect := range suspects {
		r := t.records.byKey[suspect]
		for _, counted := range r.crashes {
			for _, part := range counted.parts {
				if !crash.Run.holds(part) && r.explainedBy(part) && !t.isCleared(now, part, crash.At) {
					return true
				}
			}
		}
	}
	return false
}

// isCleared reports whether a request, or one with a part, ran without a crash since a time or shortly before
// it, and tells others if so.
func (t *Table) isCleared(now time.Time, key Key, at time.Time) bool {
	run := CleanRun{Key: key, At: t.cleanRuns.last(key)}
	if !run.clears(at, t.settings) {
		return false
	}
	t.announceCleanRun(now, run)
	return true
}

// announceCleanRun passes a run on unless it is passed on already.
func (t *Table) announceCleanRun(now time.Time, run CleanRun) {
	if !slices.ContainsFunc(t.cleanNews.entries, func(a announced[CleanRun]) bool { return a.entry.Key == run.Key }) {
		t.cleanNews.add(now, run, t.settings.MaxNews)
	}
}

// AddCleanRun adds a run without a crash. It reports whether something counted against the key, which does no
// more and is told to others.
func (t *Table) AddCleanRun(now time.Time, run CleanRun) bool {
	t.cleanRuns.add(run.Key, run.At)
	cleared := t.records.clear(run)
	if released := t.quarantines.removeKey(run); !released && !cleared {
		return false
	}
	t.announceCleanRun(now, run)
	return true
}

// AddQuarantine adds a quarantine without the keys that are cleared, and reports whether it was new.
func (t *Table) AddQuarantine(now time.Time, entry Quarantine) bool {
	if !now.Before(t.quarantines.probationEnd(&entry)) {
		return false
	}
	keys := slices.DeleteFunc(slices.Clone(entry.Keys), func(key Key) bool { return t.isCleared(now, key, entry.Since) })
	if len(keys) == 0 {
		return false
	}
	slices.Sort(keys)
	return t.quarantines.put(Quarantine{Keys: slices.Compact(keys), Since: entry.Since, Renewals: entry.Renewals})
}

// Learn adds the news of another instance and reports whether any was new.
func (t *Table) Learn(now time.Time, news News) bool {
	learned := false
	for _, run := range news.CleanRuns {
		learned = t.AddCleanRun(now, run) || learned
	}
	for _, entry := range news.Quarantines {
		learned = t.AddQuarantine(now, entry) || learned
	}
	for _, crash := range news.Crashes {
		learned = t.AddCrash(now, crash) || learned
	}
	return learned
}

// News returns what other instances are told now: crashes, runs and quarantines of the last NewsTime, and with complete
// also the older quarantines, for instances that have started since.
func (t *Table) News(now time.Time, complete bool) News {
	quarantines := t.Quarantines(now)
	if !complete {
		quarantines = slices.DeleteFunc(quarantines, func(q Quarantine) bool { return now.Sub(q.Since) > t.settings.NewsTime })
	}
	return News{
		Crashes:     t.crashNews.recent(now, t.settings.NewsTime),
		CleanRuns:   t.cleanNews.recent(now, t.settings.NewsTime),
		Quarantines: quarantines[max(0, len(quarantines)-t.settings.MaxNews):],
	}
}

// SetQuarantineTime changes the duration of quarantines, also of those in force.
func (t *Table) SetQuarantineTime(duration time.Duration) {
	t.settings.QuarantineTime = duration
	t.quarantines.settings.QuarantineTime = duration
}

// Quarantines returns the quarantines that are in force or on probation, oldest first.
func (t *Table) Quarantines(now time.Time) []Quarantine { return t.quarantines.current(now) }
