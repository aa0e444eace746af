package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Book is one instance's knowledge of suspects and quarantines. It is not safe
// for concurrent use.
type Book struct {
	instance string
	settings Settings
	// running are the requests in flight on each server.
	running     map[string]map[string]attempt
	reports     []Report
	clearances  map[serving.Fingerprint]Clearance
	quarantines map[serving.Fingerprint]Quarantine
	// elsewhere are the suspects that run at other instances.
	elsewhere map[serving.Fingerprint]time.Time
}

// attempt is one request in flight.
type attempt struct {
	fingerprint serving.Fingerprint
	started     time.Time
}

// NewBook returns an empty book of an instance.
func NewBook(instance string, settings Settings) *Book {
	return &Book{
		instance:    instance,
		settings:    settings,
		running:     make(map[string]map[string]attempt),
		clearances:  make(map[serving.Fingerprint]Clearance),
		quarantines: make(map[serving.Fingerprint]Quarantine),
		elsewhere:   make(map[serving.Fingerprint]time.Time),
	}
}

// Started notes that a request runs on a server.
func (b *Book) Started(now time.Time, fingerprint serving.Fingerprint, request, server string) {
	if b.running[server] == nil {
		b.running[server] = make(map[string]attempt)
	}
	b.running[server][request] = attempt{fingerprint: fingerprint, started: now}
}

// Ended notes that a request left a server without harm. A suspect that ran
// long enough is cleared. It does nothing after the server's death.
func (b *Book) Ended(now time.Time, request, server string) {
	ended, inFlight := b.running[server][request]
	if !inFlight {
		return
	}
	delete(b.running[server], request)
	if len(b.running[server]) == 0 {
		delete(b.running, server)
	}
	if b.suspected(ended.fingerprint) {
		b.clear(Clearance{Fingerprint: ended.fingerprint, At: now, Ran: now.Sub(ended.started)})
	}
}

// suspected reports whether a report names the request.
func (b *Book) suspected(fingerprint serving.Fingerprint) bool {
	return slices.ContainsFunc(b.reports, func(report Report) bool {
		return slices.ContainsFunc(report.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
	})
}

// clear keeps the clearance that took longest.
func (b *Book) clear(clearance Clearance) {
	if known, ok := b.clearances[clearance.Fingerprint]; ok && compareClearances(known, clearance) >= 0 {
		return
	}
	b.clearances[clearance.Fingerprint] = clearance
}

func compareClearances(a, b Clearance) int {
	return cmp.Or(cmp.Compare(a.Ran, b.Ran), a.At.Compare(b.At))
}

// ServerDied makes every request in flight on the server a suspect and returns
// their number.
func (b *Book) ServerDied(now time.Time, server string) int {
	inFlight := b.running[server]
	delete(b.running, server)
	if len(inFlight) == 0 {
		return 0
	}
	report := Report{Instance: b.instance, Server: server, At: now}
	for _, running := range inFlight {
		report.Suspects = append(report.Suspects, Suspect{Fingerprint: running.fingerprint, Age: now.Sub(running.started)})
	}
	slices.SortFunc(report.Suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(b.Age, a.Age))
	})
	report.Suspects = slices.CompactFunc(report.Suspects, func(a, b Suspect) bool { return a.Fingerprint == b.Fingerprint })
	if len(report.Suspects) > b.settings.MaxSuspects {
		report.Suspects = report.Suspects[:b.settings.MaxSuspects]
		report.Truncated = true
	}
	b.addReport(report)
	return len(inFlight)
}

// addReport keeps the newest reports.
func (b *Book) addReport(report Report) {
	known := slices.ContainsFunc(b.reports, func(r Report) bool { return compareReports(r, report) == 0 })
	if known {
		return
	}
	b.reports = append(b.reports, report)
	slices.SortFunc(b.reports, compareReports)
	if over := len(b.reports) - b.settings.MaxReports; over > 0 {
		b.reports = slices.Delete(b.reports, 0, over)
	}
}

// Check returns how a request may run now.
func (b *Book) Check(now time.Time, fingerprint serving.Fingerprint) Verdict {
	b.expire(now)
	if known, ok := b.quarantines[fingerprint]; ok && !known.Released {
		return Verdict{Advice: Refuse, Deaths: known.Servers}
	}
	if !b.suspected(fingerprint) {
		return Verdict{Advice: Run}
	}
	found := b.evidence(fingerprint)
	switch {
	case len(found.sole) >= b.settings.SoleDeaths && !now.Before(found.settled):
		b.quarantine(now, fingerprint, found.servers)
		return Verdict{Advice: Refuse, Deaths: found.servers}
	case len(found.sole) >= b.settings.SoleDeaths:
		return Verdict{Advice: Wait, Until: found.settled, Deaths: found.servers}
	case len(found.servers) >= b.settings.MaxDeaths:
		return Verdict{Advice: Wait, Until: now.Add(b.settings.SettleDelay), Deaths: found.servers}
	case found.suspected && b.runsSomewhere(now, fingerprint):
		return Verdict{Advice: Wait, Until: now.Add(b.settings.RunningRetry), Deaths: found.servers}
	case found.suspected:
		return Verdict{Advice: RunIsolated, Deaths: found.servers}
	default:
		return Verdict{Advice: Run}
	}
}

// evidence is what the deaths say about one request.
type evidence struct {
	suspected bool
	// servers are those of the deaths that the request is not cleared of and
	// that were not shared.
	servers []string
	// sole are those of which it is the only known suspect.
	sole    []string
	settled time.Time
}

func (b *Book) evidence(fingerprint serving.Fingerprint) evidence {
	var found evidence
	released := b.quarantines[fingerprint]
	deaths := joinReports(b.reports, b.settings)
	for _, d := range deaths {
		accused := b.accused(d, fingerprint) && !(released.Released && !d.at.After(released.Since))
		if !accused {
			continue
		}
		if !d.shared {
			found.servers = append(found.servers, d.server)
		}
		if !d.shared && found.suspected && b.onlyKnown(deaths, d, fingerprint) {
			found.sole = append(found.sole, d.server)
			found.settled = d.last.Add(b.settings.SettleDelay)
		}
		found.suspected = true
	}
	return found
}

// accused reports whether the request was in flight at the death and is not
// cleared of it.
func (b *Book) accused(d *death, fingerprint serving.Fingerprint) bool {
	if _, inFlight := d.suspects[fingerprint]; !inFlight {
		return false
	}
	clearance, ok := b.clearances[fingerprint]
	return !ok || !clearance.clears(d)
}

// onlyKnown reports whether no other request in flight at the death stands
// accused of another one.
func (b *Book) onlyKnown(deaths []*death, d *death, fingerprint serving.Fingerprint) bool {
	if d.truncated {
		return false
	}
	for other := range d.suspects {
		if other != fingerprint && b.accused(d, other) && b.accusedElsewhere(deaths, d, other) {
			return false
		}
	}
	return true
}

// accusedElsewhere reports whether the request stands accused of another
// death.
func (b *Book) accusedElsewhere(deaths []*death, d *death, fingerprint serving.Fingerprint) bool {
	return slices.ContainsFunc(deaths, func(other *death) bool {
		return other != d && b.accused(other, fingerprint)
	})
}

// runsSomewhere reports whether the suspect is in flight at this or, as far as
// is known, another instance.
func (b *Book) runsSomewhere(now time.Time, fingerprint serving.Fingerprint) bool {
	if seen, ok := b.elsewhere[fingerprint]; ok && now.Sub(seen) < b.settings.RunningExpiry {
		return true
	}
	for _, inFlight := range b.running {
		for _, running := range inFlight {
			if running.fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}

// runningSuspects returns the suspects in flight at this instance.
func (b *Book) runningSuspects() []serving.Fingerprint {
	var all []serving.Fingerprint
	for _, inFlight := range b.running {
		for _, running := range inFlight {
			if b.suspected(running.fingerprint) {
				all = append(all, running.fingerprint)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// expire forgets what is too old.
func (b *Book) expire(now time.Time) {
	b.reports = slices.DeleteFunc(b.reports, func(report Report) bool {
		return now.Sub(report.At) > b.settings.SuspicionExpiry
	})
	for fingerprint, clearance := range b.clearances {
		if now.Sub(clearance.At) > b.settings.SuspicionExpiry {
			delete(b.clearances, fingerprint)
		}
	}
	for fingerprint, seen := range b.elsewhere {
		if now.Sub(seen) > b.settings.RunningExpiry {
			delete(b.elsewhere, fingerprint)
		}
	}
	for fingerprint, known := range b.quarantines {
		if now.Sub(known.Since) > b.settings.QuarantineExpiry {
			delete(b.quarantines, fingerprint)
		}
	}
}

func (b *Book) quarantine(now time.Time, fingerprint serving.Fingerprint, servers []string) {
	b.addQuarantine(Quarantine{Fingerprint: fingerprint, Since: now, Servers: servers})
}

// addQuarantine keeps the newest entry of a request and the newest requests.
func (b *Book) addQuarantine(entry Quarantine) {
	if known, ok := b.quarantines[entry.Fingerprint]; ok && !entry.Since.After(known.Since) {
		return
	}
	b.quarantines[entry.Fingerprint] = entry
	for len(b.quarantines) > b.settings.MaxQuarantines {
		oldest := slices.MinFunc(b.Quarantines(), func(a, b Quarantine) int { return a.Since.Compare(b.Since) })
		delete(b.quarantines, oldest.Fingerprint)
	}
}

// Release ends a quarantine by an operator's command. The deaths so far no
// longer count against the request. It reports whether there was one.
func (b *Book) Release(now time.Time, fingerprint serving.Fingerprint) bool {
	known, ok := b.quarantines[fingerprint]
	if !ok || known.Released {
		return false
	}
	b.quarantines[fingerprint] = Quarantine{Fingerprint: fingerprint, Since: now, Released: true}
	return true
}

// Quarantines returns every entry in the order of the fingerprints.
func (b *Book) Quarantines() []Quarantine {
	var all []Quarantine
	for _, entry := range b.quarantines {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Export returns what other instances should know.
func (b *Book) Export(now time.Time) Digest {
	b.expire(now)
	digest := Digest{Reports: slices.Clone(b.reports), Quarantines: b.Quarantines(), Running: b.runningSuspects()}
	for _, clearance := range b.clearances {
		if b.suspected(clearance.Fingerprint) {
			digest.Clearances = append(digest.Clearances, clearance)
		}
	}
	slices.SortFunc(digest.Clearances, func(a, b Clearance) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return digest
}

// Import takes over what another instance knows.
func (b *Book) Import(now time.Time, digest Digest) {
	for _, report := range digest.Reports {
		b.addReport(report)
	}
	for _, clearance := range digest.Clearances {
		b.clear(clearance)
	}
	for _, fingerprint := range digest.Running {
		b.elsewhere[fingerprint] = now
	}
	for _, entry := range digest.Quarantines {
		b.addQuarantine(entry)
	}
	b.expire(now)
}
