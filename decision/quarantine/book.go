package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Book is one instance's knowledge of suspects and quarantines. It is not safe
// for concurrent use.
type Tracker struct {
	instance string
	settings Settings
	// running are the requests in flight on each server.
	running map[string]map[string]attempt
	reports []Report
	// joined are the deaths of the reports, nil after a change.
	joined      []*death
	clearances  map[serving.Fingerprint]Clearance
	quarantines map[serving.Fingerprint]Quarantine
	// elsewhere are the suspects that run at other instances.
	elsewhere map[serving.Fingerprint]sighting
	// intents are the wishes of this and other instances to run a suspect of
	// several deaths.
	intents map[serving.Fingerprint][]Intent
}

// sighting is the newest word that a suspect runs at another instance.
type sighting struct {
	instance string
	at       time.Time
}

// attempt is one request in flight.
type attempt struct {
	fingerprint serving.Fingerprint
	started     time.Time
}

// NewBook returns an empty book of an instance.
func NewTracker(instance string, settings Settings) *Tracker {
	return &Tracker{
		instance:    instance,
		settings:    settings,
		running:     make(map[string]map[string]attempt),
		clearances:  make(map[serving.Fingerprint]Clearance),
		quarantines: make(map[serving.Fingerprint]Quarantine),
		elsewhere:   make(map[serving.Fingerprint]sighting),
		intents:     make(map[serving.Fingerprint][]Intent),
	}
}

// Started notes that a request runs on a server.
func (b *Tracker) Started(now time.Time, fingerprint serving.Fingerprint, request, server string) {
	if b.running[server] == nil {
		b.running[server] = make(map[string]attempt)
	}
	b.intents[fingerprint] = slices.DeleteFunc(b.intents[fingerprint], func(i Intent) bool { return i.Instance == b.instance })
	if len(b.intents[fingerprint]) == 0 {
		delete(b.intents, fingerprint)
	}
	b.running[server][request] = attempt{fingerprint: fingerprint, started: now}
}

// Ended notes that a request left a server without harm. A suspect that ran
// long enough is cleared. It does nothing after the server's death.
func (b *Tracker) Ended(now time.Time, request, server string) {
	ended, inFlight := b.running[server][request]
	if !inFlight {
		return
	}
	delete(b.running[server], request)
	if len(b.running[server]) == 0 {
		delete(b.running, server)
	}
	if b.suspected(ended.fingerprint) {
		b.clear(Clearance{Fingerprint: ended.fingerprint, At: now, RunDuration: now.Sub(ended.started)})
	}
}

// suspected reports whether a report names the request.
func (b *Tracker) suspected(fingerprint serving.Fingerprint) bool {
	return slices.ContainsFunc(b.reports, func(report Report) bool {
		return slices.ContainsFunc(report.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
	})
}

// clear keeps the clearance that took longest.
func (b *Tracker) clear(clearance Clearance) {
	if known, ok := b.clearances[clearance.Fingerprint]; ok && compareClearances(known, clearance) >= 0 {
		return
	}
	b.clearances[clearance.Fingerprint] = clearance
	b.joined = nil
	b.prune()
	for len(b.clearances) > b.settings.MaxClearances {
		delete(b.clearances, b.oldestClearance())
	}
}

func (b *Tracker) oldestClearance() serving.Fingerprint {
	var oldest Clearance
	for _, clearance := range b.clearances {
		order := cmp.Or(clearance.At.Compare(oldest.At), cmp.Compare(clearance.Fingerprint, oldest.Fingerprint))
		if oldest.At.IsZero() || order < 0 {
			oldest = clearance
		}
	}
	return oldest.Fingerprint
}

func compareClearances(a, b Clearance) int {
	return cmp.Or(cmp.Compare(a.RunDuration, b.RunDuration), a.At.Compare(b.At))
}

// ServerDied makes every request in flight on the server a suspect and returns
// their number.
func (b *Tracker) ServerFailed(now time.Time, server string) int {
	inFlight := b.running[server]
	delete(b.running, server)
	if len(inFlight) == 0 {
		return 0
	}
	report := Report{Instance: b.instance, Server: server, At: now}
	for _, running := range inFlight {
		report.Suspects = append(report.Suspects, Suspect{Fingerprint: running.fingerprint, RunDuration: now.Sub(running.started)})
	}
	slices.SortFunc(report.Suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(b.RunDuration, a.RunDuration))
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
func (b *Tracker) addReport(report Report) {
	position, known := slices.BinarySearchFunc(b.reports, report, compareReports)
	if known {
		return
	}
	report.Suspects = slices.DeleteFunc(slices.Clone(report.Suspects), func(s Suspect) bool {
		return b.clearedOf(s, report.At)
	})
	if len(report.Suspects) == 0 {
		return
	}
	b.joined = nil
	b.reports = slices.Insert(b.reports, position, report)
	if over := len(b.reports) - b.settings.MaxReports; over > 0 {
		b.reports = slices.Delete(b.reports, 0, over)
	}
}

// clearedOf reports whether the suspect is cleared of a death at the time.
func (b *Tracker) clearedOf(suspect Suspect, at time.Time) bool {
	clearance, ok := b.clearances[suspect.Fingerprint]
	return ok && clearance.At.After(at) && clearance.RunDuration >= suspect.RunDuration
}

// prune drops the suspects that are cleared, and the reports that name no
// other.
func (b *Tracker) prune() {
	kept := b.reports[:0]
	for _, report := range b.reports {
		report.Suspects = slices.DeleteFunc(slices.Clone(report.Suspects), func(s Suspect) bool {
			return b.clearedOf(s, report.At)
		})
		if len(report.Suspects) > 0 {
			kept = append(kept, report)
		}
	}
	b.reports = kept
}

// Check returns how a request may run now. The request's own attempts may
// overlap; those of others with the same fingerprint may not.
func (b *Tracker) Check(now time.Time, fingerprint serving.Fingerprint, request string) Decision {
	b.expire(now)
	if b.quarantined(fingerprint) {
		return Decision{Action: Refuse, FailedServers: b.quarantines[fingerprint].Servers}
	}
	if !b.suspected(fingerprint) {
		return Decision{Action: Run}
	}
	found := b.evidence(fingerprint)
	switch {
	case b.convict(now, fingerprint, found):
		return Decision{Action: Refuse, FailedServers: found.servers}
	case len(found.sole) >= b.settings.QuarantineThreshold:
		return Decision{Action: Wait, NextCheckAt: found.settled, FailedServers: found.servers}
	case found.total >= b.settings.WaitThreshold && len(found.servers) > 0:
		return Decision{Action: Wait, NextCheckAt: now.Add(b.settings.RecheckInterval), FailedServers: found.servers}
	case found.deaths > 0 && (b.runsElsewhere(now, fingerprint) || b.runsHere(fingerprint, request)):
		return Decision{Action: Wait, NextCheckAt: now.Add(b.settings.RecheckInterval), FailedServers: found.servers}
	case found.deaths > 1 && !b.mayRun(now, fingerprint):
		return Decision{Action: Wait, NextCheckAt: now.Add(b.settings.RecheckInterval), FailedServers: found.servers}
	case found.deaths > 0:
		return Decision{Action: RunIsolated, FailedServers: found.servers}
	default:
		return Decision{Action: Run}
	}
}

// Tick quarantines the requests against which enough is known and returns them.
func (b *Tracker) Tick(now time.Time) []serving.Fingerprint {
	b.expire(now)
	var found []serving.Fingerprint
	for _, fingerprint := range b.suspects() {
		if !b.quarantined(fingerprint) && b.convict(now, fingerprint, b.evidence(fingerprint)) {
			found = append(found, fingerprint)
		}
	}
	return found
}

// suspects returns the suspects of enough deaths to be quarantined, in order.
func (b *Tracker) suspects() []serving.Fingerprint {
	counts := make(map[serving.Fingerprint]int)
	for _, d := range b.deaths() {
		for suspect := range d.suspects {
			counts[suspect]++
		}
	}
	var all []serving.Fingerprint
	for fingerprint, count := range counts {
		if count >= b.settings.QuarantineThreshold {
			all = append(all, fingerprint)
		}
	}
	slices.Sort(all)
	return all
}

// evidence is what the deaths say about one request.
type evidence struct {
	// total is the number of deaths that the request is not cleared of, deaths
	// that of those which no quarantined request explains.
	total  int
	deaths int
	// servers are those of the deaths that were not shared.
	servers []string
	// sole are those of which it is the only suspect.
	sole    []string
	settled time.Time
}

func (b *Tracker) evidence(fingerprint serving.Fingerprint) evidence {
	var found evidence
	released := b.quarantines[fingerprint]
	deaths := b.deaths()
	known := false
	for _, d := range deaths {
		if !b.suspectedOf(d, fingerprint) || released.Released && !d.at.After(released.Since) {
			continue
		}
		explained := b.endedByQuarantined(d, fingerprint)
		found.total++
		if !explained {
			found.deaths++
		}
		if !explained && !d.shared {
			found.servers = append(found.servers, d.server)
		}
		if !explained && !d.shared && known && b.onlySuspect(deaths, d, fingerprint) {
			found.sole = append(found.sole, d.server)
			found.settle(d.last.Add(b.settleDelay(d, fingerprint)))
		}
		known = true
	}
	return found
}

// settle notes when one more piece of evidence holds.
func (e *evidence) settle(at time.Time) {
	if at.After(e.settled) {
		e.settled = at
	}
}

// settleDelay returns how long the death needs to count against the request:
// longer while another request in flight may still turn out to be the cause.
func (b *Tracker) settleDelay(d *death, fingerprint serving.Fingerprint) time.Duration {
	for other := range d.suspects {
		if other != fingerprint && b.accused(d, other) {
			return b.settings.ClearanceDelay
		}
	}
	return b.settings.PropagationDelay
}

// deaths returns the deaths known, joined anew after a change.
func (b *Tracker) deaths() []*death {
	if b.joined == nil {
		b.joined = joinReports(b.reports, b.settings)
		b.markShared(b.joined)
	}
	return b.joined
}

// markShared marks the deaths that came together. Those that a suspect of an
// earlier death explains don't make up the number, so that several killing
// requests at a time are not taken for a rack.
func (b *Tracker) markShared(deaths []*death) {
	for i, first := range deaths {
		unexplained, end := 0, i
		for end < len(deaths) && deaths[end].at.Sub(first.at) <= b.settings.SimultaneousWindow {
			if !b.explained(deaths[:i], deaths[end]) {
				unexplained++
			}
			end++
		}
		if unexplained < b.settings.SimultaneousThreshold {
			continue
		}
		for _, d := range deaths[i:end] {
			d.shared = true
		}
	}
}

// explained reports whether a request in flight at the death stands accused of
// one of the earlier deaths that were not shared.
func (b *Tracker) explained(earlier []*death, d *death) bool {
	return slices.ContainsFunc(earlier, func(before *death) bool {
		if before.shared {
			return false
		}
		for suspect := range d.suspects {
			if b.accused(before, suspect) {
				return true
			}
		}
		return false
	})
}

// accused reports whether the request is a suspect of the death and no
// quarantined one explains it.
func (b *Tracker) accused(d *death, fingerprint serving.Fingerprint) bool {
	return b.suspectedOf(d, fingerprint) && !b.endedByQuarantined(d, fingerprint)
}

// suspectedOf reports whether the request was in flight at the death and is
// not cleared of it.
func (b *Tracker) suspectedOf(d *death, fingerprint serving.Fingerprint) bool {
	if _, inFlight := d.suspects[fingerprint]; !inFlight {
		return false
	}
	clearance, ok := b.clearances[fingerprint]
	return !ok || !clearance.clears(d)
}

// endedByQuarantined reports whether another request in flight at the death is
// quarantined.
func (b *Tracker) endedByQuarantined(d *death, fingerprint serving.Fingerprint) bool {
	for other := range d.suspects {
		if other != fingerprint && b.quarantined(other) {
			return true
		}
	}
	return false
}

func (b *Tracker) quarantined(fingerprint serving.Fingerprint) bool {
	known, ok := b.quarantines[fingerprint]
	return ok && !known.Released
}

// onlySuspect reports whether no other request in flight at the death stands
// accused of another one.
func (b *Tracker) onlySuspect(deaths []*death, d *death, fingerprint serving.Fingerprint) bool {
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
func (b *Tracker) accusedElsewhere(deaths []*death, d *death, fingerprint serving.Fingerprint) bool {
	return slices.ContainsFunc(deaths, func(other *death) bool {
		return other != d && b.accused(other, fingerprint)
	})
}

// runsElsewhere reports whether the suspect is, as far as is known, in flight
// at another instance.
func (b *Tracker) runsElsewhere(now time.Time, fingerprint serving.Fingerprint) bool {
	seen, ok := b.elsewhere[fingerprint]
	return ok && now.Sub(seen.at) < b.settings.RunningExpiry
}

// runsHere reports whether another request with the fingerprint is in flight at
// this instance.
func (b *Tracker) runsHere(fingerprint serving.Fingerprint, request string) bool {
	for _, inFlight := range b.running {
		for id, running := range inFlight {
			if running.fingerprint == fingerprint && id != request {
				return true
			}
		}
	}
	return false
}

// exportRunning returns the suspects in flight at this instance and, as far as
// is known, at others.
func (b *Tracker) exportRunning(now time.Time) []Running {
	var all []Running
	for fingerprint, seen := range b.elsewhere {
		all = append(all, Running{Fingerprint: fingerprint, Instance: seen.instance, Age: now.Sub(seen.at)})
	}
	own := make(map[serving.Fingerprint]bool)
	for _, inFlight := range b.running {
		for _, running := range inFlight {
			if !own[running.fingerprint] && b.suspected(running.fingerprint) {
				own[running.fingerprint] = true
				all = append(all, Running{Fingerprint: running.fingerprint, Instance: b.instance})
			}
		}
	}
	slices.SortFunc(all, func(a, b Running) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}

// expire forgets what is too old.
func (b *Tracker) expire(now time.Time) {
	known := len(b.reports)
	b.reports = slices.DeleteFunc(b.reports, func(report Report) bool {
		return now.Sub(report.At) > b.settings.SuspicionExpiry
	})
	if len(b.reports) != known {
		b.joined = nil
	}
	for fingerprint, clearance := range b.clearances {
		if now.Sub(clearance.At) > b.settings.SuspicionExpiry {
			delete(b.clearances, fingerprint)
		}
	}
	for fingerprint, seen := range b.elsewhere {
		if now.Sub(seen.at) > b.settings.RunningExpiry {
			delete(b.elsewhere, fingerprint)
		}
	}
	for fingerprint, intents := range b.intents {
		b.intents[fingerprint] = slices.DeleteFunc(intents, func(i Intent) bool {
			return now.Sub(i.heard) > b.settings.RunningExpiry
		})
		if len(b.intents[fingerprint]) == 0 {
			delete(b.intents, fingerprint)
		}
	}
	for fingerprint, known := range b.quarantines {
		if now.Sub(known.Since) > b.settings.QuarantineExpiry {
			delete(b.quarantines, fingerprint)
			b.joined = nil
		}
	}
}

// convict quarantines a request against which enough is known for long enough
// and reports whether it did.
func (b *Tracker) convict(now time.Time, fingerprint serving.Fingerprint, found evidence) bool {
	if len(found.sole) < b.settings.QuarantineThreshold || now.Before(found.settled) {
		return false
	}
	b.addQuarantine(Quarantine{Fingerprint: fingerprint, Since: now, Servers: found.servers})
	return true
}

// addQuarantine keeps the newest entry of a request and the newest requests.
func (b *Tracker) addQuarantine(entry Quarantine) {
	if known, ok := b.quarantines[entry.Fingerprint]; ok && !entry.Since.After(known.Since) {
		return
	}
	b.quarantines[entry.Fingerprint] = entry
	b.joined = nil
	for len(b.quarantines) > b.settings.MaxQuarantines {
		oldest := slices.MinFunc(b.Quarantines(), func(a, b Quarantine) int { return a.Since.Compare(b.Since) })
		delete(b.quarantines, oldest.Fingerprint)
	}
}

// Release ends a quarantine by an operator's command. The deaths so far no
// longer count against the request. It reports whether there was one.
func (b *Tracker) Release(now time.Time, fingerprint serving.Fingerprint) bool {
	known, ok := b.quarantines[fingerprint]
	if !ok || known.Released {
		return false
	}
	b.quarantines[fingerprint] = Quarantine{Fingerprint: fingerprint, Since: now, Released: true}
	b.joined = nil
	return true
}

// Quarantines returns every entry in the order of the fingerprints.
func (b *Tracker) Quarantines() []Quarantine {
	var all []Quarantine
	for _, entry := range b.quarantines {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Export returns what other instances should know.
func (b *Tracker) Export(now time.Time) Digest {
	b.expire(now)
	digest := Digest{Reports: slices.Clone(b.reports), Quarantines: b.Quarantines(), Running: b.exportRunning(now)}
	for _, clearance := range b.clearances {
		if b.suspected(clearance.Fingerprint) {
			digest.Clearances = append(digest.Clearances, clearance)
		}
	}
	digest.Intents = b.exportIntents(now)
	slices.SortFunc(digest.Clearances, func(a, b Clearance) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return digest
}

// Import takes over what another instance knows.
func (b *Tracker) Import(now time.Time, digest Digest) {
	for _, report := range digest.Reports {
		b.addReport(report)
	}
	for _, clearance := range digest.Clearances {
		b.clear(clearance)
	}
	for _, running := range digest.Running {
		at := now.Add(-running.Age)
		if running.Instance != b.instance && at.After(b.elsewhere[running.Fingerprint].at) {
			b.elsewhere[running.Fingerprint] = sighting{instance: running.Instance, at: at}
		}
	}
	for _, intent := range digest.Intents {
		if intent.Instance != b.instance {
			intent.heard = now.Add(-intent.Age)
			b.addIntent(intent)
		}
	}
	for _, entry := range digest.Quarantines {
		b.addQuarantine(entry)
	}
	b.expire(now)
}
