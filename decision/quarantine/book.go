package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Book holds one instance's record of suspects and quarantines and decides from it
// how requests may run. It is not safe for concurrent use.
type Book struct {
	instance string
	settings Settings
	// running holds the requests in flight, by server and request.
	running map[string]map[string]attempt
	reports []Report
	// joined caches the failures joined from the reports; nil after a change.
	joined      []*death
	clearances  map[serving.Fingerprint]Clearance
	quarantines map[serving.Fingerprint]Quarantine
	// elsewhere holds the suspects in flight at peers.
	elsewhere map[serving.Fingerprint]sighting
	// intents are the requests of this instance and of peers to run a suspect
	// of several failures.
	intents map[serving.Fingerprint][]Intent
}

// sighting is the newest entry that says that a suspect runs at a peer.
type sighting struct {
	instance string
	at       time.Time
}

// attempt is one request in flight.
type attempt struct {
	fingerprint serving.Fingerprint
	started     time.Time
}

// NewBook returns an empty book for an instance.
func NewBook(instance string, settings Settings) *Book {
	return &Book{
		instance:    instance,
		settings:    settings,
		running:     make(map[string]map[string]attempt),
		clearances:  make(map[serving.Fingerprint]Clearance),
		quarantines: make(map[serving.Fingerprint]Quarantine),
		elsewhere:   make(map[serving.Fingerprint]sighting),
		intents:     make(map[serving.Fingerprint][]Intent),
	}
}

// Started records that a request runs on a server. It ends the intent of this
// instance to run the request.
func (b *Book) Started(now time.Time, fingerprint serving.Fingerprint, request, server string) {
	if b.running[server] == nil {
		b.running[server] = make(map[string]attempt)
	}
	b.intents[fingerprint] = slices.DeleteFunc(b.intents[fingerprint], func(i Intent) bool { return i.Instance == b.instance })
	if len(b.intents[fingerprint]) == 0 {
		delete(b.intents, fingerprint)
	}
	b.running[server][request] = attempt{fingerprint: fingerprint, started: now}
}

// Ended records that a request left a server that did not fail. A suspect that ran
// long enough is cleared. It does nothing after the server's failure.
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

// suspected reports whether a report names the request as a suspect.
func (b *Book) suspected(fingerprint serving.Fingerprint) bool {
	return slices.ContainsFunc(b.reports, func(report Report) bool {
		return slices.ContainsFunc(report.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
	})
}

// clear records a clearance and keeps the one with the longest run per request.
func (b *Book) clear(clearance Clearance) {
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

func (b *Book) oldestClearance() serving.Fingerprint {
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
	return cmp.Or(cmp.Compare(a.Ran, b.Ran), a.At.Compare(b.At))
}

// ServerDied records that a server failed: every request in flight on it becomes a
// suspect. It returns their number.
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

// addReport adds a report without its cleared suspects and keeps the newest
// MaxReports reports.
func (b *Book) addReport(report Report) {
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

// clearedOf reports whether the suspect is cleared of a failure at the time.
func (b *Book) clearedOf(suspect Suspect, at time.Time) bool {
	clearance, ok := b.clearances[suspect.Fingerprint]
	return ok && clearance.At.After(at) && clearance.Ran >= suspect.Age
}

// prune removes cleared suspects, and reports without any other suspect.
func (b *Book) prune() {
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

// Check returns how a request may run now. Attempts of the request itself may
// overlap; those of other requests with the same fingerprint may not.
func (b *Book) Check(now time.Time, fingerprint serving.Fingerprint, request string) Verdict {
	b.expire(now)
	if b.quarantined(fingerprint) {
		return Verdict{Advice: Refuse, Deaths: b.quarantines[fingerprint].Servers}
	}
	if !b.suspected(fingerprint) {
		return Verdict{Advice: Run}
	}
	found := b.evidence(fingerprint)
	switch {
	case b.convict(now, fingerprint, found):
		return Verdict{Advice: Refuse, Deaths: found.servers}
	case len(found.sole) >= b.settings.SoleDeaths:
		return Verdict{Advice: Wait, Until: found.settled, Deaths: found.servers}
	case found.total >= b.settings.MaxDeaths && len(found.servers) > 0:
		return Verdict{Advice: Wait, Until: now.Add(b.settings.RunningRetry), Deaths: found.servers}
	case found.deaths > 0 && (b.runsElsewhere(now, fingerprint) || b.runsHere(fingerprint, request)):
		return Verdict{Advice: Wait, Until: now.Add(b.settings.RunningRetry), Deaths: found.servers}
	case found.deaths > 1 && !b.mayRun(now, fingerprint):
		return Verdict{Advice: Wait, Until: now.Add(b.settings.RunningRetry), Deaths: found.servers}
	case found.deaths > 0:
		return Verdict{Advice: RunIsolated, Deaths: found.servers}
	default:
		return Verdict{Advice: Run}
	}
}

// Tick quarantines the requests with enough evidence against them and returns them.
func (b *Book) Tick(now time.Time) []serving.Fingerprint {
	b.expire(now)
	var found []serving.Fingerprint
	for _, fingerprint := range b.suspects() {
		if !b.quarantined(fingerprint) && b.convict(now, fingerprint, b.evidence(fingerprint)) {
			found = append(found, fingerprint)
		}
	}
	return found
}

// suspects returns the suspects of at least SoleDeaths failures, in order.
func (b *Book) suspects() []serving.Fingerprint {
	counts := make(map[serving.Fingerprint]int)
	for _, d := range b.deaths() {
		for suspect := range d.suspects {
			counts[suspect]++
		}
	}
	var all []serving.Fingerprint
	for fingerprint, count := range counts {
		if count >= b.settings.SoleDeaths {
			all = append(all, fingerprint)
		}
	}
	slices.Sort(all)
	return all
}

// evidence sums up the failures of which one request is a suspect.
type evidence struct {
	// total is the number of failures of which the request is not cleared;
	// deaths counts those not attributed to a quarantined request.
	total  int
	deaths int
	// servers are those of the latter failures that were not simultaneous.
	servers []string
	// sole are the servers whose failures count against the request.
	sole []string
	// settled is when peers had time to report on all of sole.
	settled time.Time
}

// evidence collects the evidence against a request. Failures up to its release
// from quarantine are left out.
func (b *Book) evidence(fingerprint serving.Fingerprint) evidence {
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

// settle moves settled to the given time if that is later.
func (e *evidence) settle(at time.Time) {
	if at.After(e.settled) {
		e.settled = at
	}
}

// settleDelay returns how long after its last report the failure counts against
// the request: longer while another candidate may still prove to be the cause.
func (b *Book) settleDelay(d *death, fingerprint serving.Fingerprint) time.Duration {
	for other := range d.suspects {
		if other != fingerprint && b.accused(d, other) {
			return b.settings.ClearDelay
		}
	}
	return b.settings.SettleDelay
}

// deaths returns the reported failures, joined again after a change.
func (b *Book) deaths() []*death {
	if b.joined == nil {
		b.joined = joinReports(b.reports, b.settings)
		b.markShared(b.joined)
	}
	return b.joined
}

// markShared marks the failures that are simultaneous: at least SharedDeaths within
// SharedWindow. Failures that a candidate for an earlier failure explains are not
// counted, so that several poison requests at a time are not taken for a rack.
func (b *Book) markShared(deaths []*death) {
	for i, first := range deaths {
		unexplained, end := 0, i
		for end < len(deaths) && deaths[end].at.Sub(first.at) <= b.settings.SharedWindow {
			if !b.explained(deaths[:i], deaths[end]) {
				unexplained++
			}
			end++
		}
		if unexplained < b.settings.SharedDeaths {
			continue
		}
		for _, d := range deaths[i:end] {
			d.shared = true
		}
	}
}

// explained reports whether a suspect of the failure is a candidate for an earlier
// failure that was not simultaneous with others.
func (b *Book) explained(earlier []*death, d *death) bool {
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

// accused reports whether the request is a candidate for the cause of the failure:
// a suspect that is not cleared, while the failure is not attributed to another.
func (b *Book) accused(d *death, fingerprint serving.Fingerprint) bool {
	return b.suspectedOf(d, fingerprint) && !b.endedByQuarantined(d, fingerprint)
}

// suspectedOf reports whether the request was in flight at the failure and is not
// cleared of it.
func (b *Book) suspectedOf(d *death, fingerprint serving.Fingerprint) bool {
	if _, inFlight := d.suspects[fingerprint]; !inFlight {
		return false
	}
	clearance, ok := b.clearances[fingerprint]
	return !ok || !clearance.clears(d)
}

// endedByQuarantined reports whether the failure is attributed to another request:
// one that was in flight and is quarantined.
func (b *Book) endedByQuarantined(d *death, fingerprint serving.Fingerprint) bool {
	for other := range d.suspects {
		if other != fingerprint && b.quarantined(other) {
			return true
		}
	}
	return false
}

func (b *Book) quarantined(fingerprint serving.Fingerprint) bool {
	known, ok := b.quarantines[fingerprint]
	return ok && !known.Released
}

// onlySuspect reports whether no other candidate for the failure is a candidate for
// another failure too. It is false when suspects are missing from the reports.
func (b *Book) onlySuspect(deaths []*death, d *death, fingerprint serving.Fingerprint) bool {
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

// accusedElsewhere reports whether the request is a candidate for another failure.
func (b *Book) accusedElsewhere(deaths []*death, d *death, fingerprint serving.Fingerprint) bool {
	return slices.ContainsFunc(deaths, func(other *death) bool {
		return other != d && b.accused(other, fingerprint)
	})
}

// runsElsewhere reports whether a peer reported within RunningExpiry that the
// suspect is in flight there.
func (b *Book) runsElsewhere(now time.Time, fingerprint serving.Fingerprint) bool {
	seen, ok := b.elsewhere[fingerprint]
	return ok && now.Sub(seen.at) < b.settings.RunningExpiry
}

// runsHere reports whether another request with the same fingerprint is in flight
// at this instance.
func (b *Book) runsHere(fingerprint serving.Fingerprint, request string) bool {
	for _, inFlight := range b.running {
		for id, running := range inFlight {
			if running.fingerprint == fingerprint && id != request {
				return true
			}
		}
	}
	return false
}

// exportRunning returns the suspects in flight at this instance and those that
// were reported in flight at peers.
func (b *Book) exportRunning(now time.Time) []Running {
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

// expire removes expired entries.
func (b *Book) expire(now time.Time) {
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

// convict quarantines a request if SoleDeaths failures count against it and peers
// had time to report on them. It reports whether it did.
func (b *Book) convict(now time.Time, fingerprint serving.Fingerprint, found evidence) bool {
	if len(found.sole) < b.settings.SoleDeaths || now.Before(found.settled) {
		return false
	}
	b.addQuarantine(Quarantine{Fingerprint: fingerprint, Since: now, Servers: found.servers})
	return true
}

// addQuarantine adds an entry. It keeps the newest entry of each request and the
// newest MaxQuarantines entries.
func (b *Book) addQuarantine(entry Quarantine) {
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

// Release ends a quarantine at an operator's command and reports whether there was
// one. Failures up to now no longer count against the request.
func (b *Book) Release(now time.Time, fingerprint serving.Fingerprint) bool {
	known, ok := b.quarantines[fingerprint]
	if !ok || known.Released {
		return false
	}
	b.quarantines[fingerprint] = Quarantine{Fingerprint: fingerprint, Since: now, Released: true}
	b.joined = nil
	return true
}

// Quarantines returns every entry, also released ones, in order of fingerprint.
func (b *Book) Quarantines() []Quarantine {
	var all []Quarantine
	for _, entry := range b.quarantines {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Export returns the digest to send to peers.
func (b *Book) Export(now time.Time) Digest {
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

// Import merges the digest of a peer into the book.
func (b *Book) Import(now time.Time, digest Digest) {
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
