package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Tracker holds one instance's record of suspects and quarantines and decides from it
// how requests may run. It is not safe for concurrent use.
type Tracker struct {
	instance string
	settings Settings
	// running holds the requests in flight, by server and request.
	running map[string]map[string]attempt
	reports []Report
	// joinedFailures caches the failures joined from the reports; nil after a change.
	joinedFailures []*serverFailure
	clearances     map[serving.Fingerprint]Clearance
	quarantines    map[serving.Fingerprint]Quarantine
	// peerRuns holds the suspects in flight at peers.
	peerRuns map[serving.Fingerprint]peerRun
	// intents are those of this instance and of peers to run a suspect of
	// several failures.
	intents map[serving.Fingerprint][]Intent
}

// peerRun is the newest entry that says that a suspect runs at a peer.
type peerRun struct {
	instance string
	at       time.Time
}

// attempt is one request in flight.
type attempt struct {
	fingerprint serving.Fingerprint
	started     time.Time
	// reached is set once the server accepted the connection of the request.
	reached bool
}

// NewTracker returns an empty tracker for an instance.
func NewTracker(instance string, settings Settings) *Tracker {
	return &Tracker{
		instance:    instance,
		settings:    settings,
		running:     make(map[string]map[string]attempt),
		clearances:  make(map[serving.Fingerprint]Clearance),
		quarantines: make(map[serving.Fingerprint]Quarantine),
		peerRuns:    make(map[serving.Fingerprint]peerRun),
		intents:     make(map[serving.Fingerprint][]Intent),
	}
}

// Started records that a request is sent to a server. It ends the intent of this
// instance to run the request. The request is no suspect of the server's failure before
// Reached is called.
func (t *Tracker) Started(now time.Time, fingerprint serving.Fingerprint, request, server string) {
	if t.running[server] == nil {
		t.running[server] = make(map[string]attempt)
	}
	t.intents[fingerprint] = slices.DeleteFunc(t.intents[fingerprint], func(i Intent) bool { return i.Instance == t.instance })
	if len(t.intents[fingerprint]) == 0 {
		delete(t.intents, fingerprint)
	}
	t.running[server][request] = attempt{fingerprint: fingerprint, started: now}
}

// Reached records that a server accepted the connection of a request. It does nothing when the
// request has ended.
func (t *Tracker) Reached(now time.Time, request, server string) {
	if reached, inFlight := t.running[server][request]; inFlight {
		reached.started, reached.reached = now, true
		t.running[server][request] = reached
	}
}

// Ended records that a request left a server that did not fail. A suspect that ran
// long enough is cleared. It does nothing after the server's failure.
func (t *Tracker) Ended(now time.Time, request, server string) {
	ended, inFlight := t.running[server][request]
	if !inFlight {
		return
	}
	delete(t.running[server], request)
	if len(t.running[server]) == 0 {
		delete(t.running, server)
	}
	if ended.reached && t.isSuspected(ended.fingerprint) {
		t.addClearance(Clearance{Fingerprint: ended.fingerprint, At: now, RunDuration: now.Sub(ended.started)})
	}
}

// isSuspected reports whether a report names the request as a suspect.
func (t *Tracker) isSuspected(fingerprint serving.Fingerprint) bool {
	return slices.ContainsFunc(t.reports, func(report Report) bool {
		return slices.ContainsFunc(report.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
	})
}

// addClearance records a clearance and keeps the one with the longest run per request.
func (t *Tracker) addClearance(clearance Clearance) {
	if current, ok := t.clearances[clearance.Fingerprint]; ok && compareClearances(current, clearance) >= 0 {
		return
	}
	t.clearances[clearance.Fingerprint] = clearance
	t.joinedFailures = nil
	t.removeCleared()
	for len(t.clearances) > t.settings.MaxClearances {
		delete(t.clearances, t.oldestClearance())
	}
}

func (t *Tracker) oldestClearance() serving.Fingerprint {
	var oldest Clearance
	for _, clearance := range t.clearances {
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

// ServerFailed records that a server failed: every request that reached it and is in flight
// there becomes a suspect. It returns their number.
func (t *Tracker) ServerFailed(now time.Time, server string) int {
	inFlight := t.takeReached(server)
	if len(inFlight) == 0 {
		return 0
	}
	report := Report{Instance: t.instance, Server: server, At: now}
	for _, running := range inFlight {
		report.Suspects = append(report.Suspects, Suspect{Fingerprint: running.fingerprint, RunDuration: now.Sub(running.started)})
	}
	slices.SortFunc(report.Suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(b.RunDuration, a.RunDuration))
	})
	report.Suspects = slices.CompactFunc(report.Suspects, func(a, b Suspect) bool { return a.Fingerprint == b.Fingerprint })
	if len(report.Suspects) > t.settings.MaxSuspects {
		report.Suspects = report.Suspects[:t.settings.MaxSuspects]
		report.Truncated = true
	}
	t.addReport(report)
	return len(inFlight)
}

// takeReached removes and returns the requests in flight that reached a server.
func (t *Tracker) takeReached(server string) map[string]attempt {
	reached := make(map[string]attempt)
	for request, running := range t.running[server] {
		if running.reached {
			reached[request] = running
			delete(t.running[server], request)
		}
	}
	if len(t.running[server]) == 0 {
		delete(t.running, server)
	}
	return reached
}

// addReport adds a report without its cleared suspects and keeps the newest
// MaxReports reports.
func (t *Tracker) addReport(report Report) {
	position, exists := slices.BinarySearchFunc(t.reports, report, compareReports)
	if exists {
		return
	}
	report.Suspects = slices.DeleteFunc(slices.Clone(report.Suspects), func(s Suspect) bool {
		return t.isCleared(s, report.At)
	})
	if len(report.Suspects) == 0 {
		return
	}
	t.joinedFailures = nil
	t.reports = slices.Insert(t.reports, position, report)
	if excess := len(t.reports) - t.settings.MaxReports; excess > 0 {
		t.reports = slices.Delete(t.reports, 0, excess)
	}
}

// isCleared reports whether the suspect is cleared of a failure at the given time.
func (t *Tracker) isCleared(suspect Suspect, at time.Time) bool {
	clearance, ok := t.clearances[suspect.Fingerprint]
	return ok && clearance.At.After(at) && clearance.RunDuration >= suspect.RunDuration
}

// removeCleared removes cleared suspects, and reports without any other suspect.
func (t *Tracker) removeCleared() {
	kept := t.reports[:0]
	for _, report := range t.reports {
		report.Suspects = slices.DeleteFunc(slices.Clone(report.Suspects), func(s Suspect) bool {
			return t.isCleared(s, report.At)
		})
		if len(report.Suspects) > 0 {
			kept = append(kept, report)
		}
	}
	t.reports = kept
}

// Check returns how a request may run now. Attempts of the request itself may
// overlap; those of other requests with the same fingerprint may not.
func (t *Tracker) Check(now time.Time, fingerprint serving.Fingerprint, request string) Decision {
	t.removeExpired(now)
	if t.isQuarantined(fingerprint) {
		return Decision{Action: Refuse, FailedServers: t.quarantines[fingerprint].Servers}
	}
	if !t.isSuspected(fingerprint) {
		return Decision{Action: Run}
	}
	found := t.collectEvidence(fingerprint)
	switch {
	case t.tryQuarantine(now, fingerprint, found):
		return Decision{Action: Refuse, FailedServers: found.servers}
	case len(found.counted) >= t.settings.QuarantineThreshold:
		return Decision{Action: Wait, NextCheckAt: found.decidableAt, FailedServers: found.servers}
	case found.total >= t.settings.WaitThreshold && len(found.servers) > 0:
		return Decision{Action: Wait, NextCheckAt: now.Add(t.settings.RecheckInterval), FailedServers: found.servers}
	case found.unattributed > 0 && (t.runsAtPeer(now, fingerprint) || t.runsLocally(fingerprint, request)):
		return Decision{Action: Wait, NextCheckAt: now.Add(t.settings.RecheckInterval), FailedServers: found.servers}
	case found.unattributed > 1 && !t.mayRun(now, fingerprint):
		return Decision{Action: Wait, NextCheckAt: now.Add(t.settings.RecheckInterval), FailedServers: found.servers}
	case found.unattributed > 0:
		return Decision{Action: RunIsolated, FailedServers: found.servers}
	default:
		return Decision{Action: Run}
	}
}

// Tick quarantines the requests with enough evidence against them and returns them.
func (t *Tracker) Tick(now time.Time) []serving.Fingerprint {
	t.removeExpired(now)
	var found []serving.Fingerprint
	for _, fingerprint := range t.recurringSuspects() {
		if !t.isQuarantined(fingerprint) && t.tryQuarantine(now, fingerprint, t.collectEvidence(fingerprint)) {
			found = append(found, fingerprint)
		}
	}
	return found
}

// recurringSuspects returns the suspects of QuarantineThreshold failures or more, in
// order.
func (t *Tracker) recurringSuspects() []serving.Fingerprint {
	counts := make(map[serving.Fingerprint]int)
	for _, f := range t.failures() {
		for suspect := range f.suspects {
			counts[suspect]++
		}
	}
	var all []serving.Fingerprint
	for fingerprint, count := range counts {
		if count >= t.settings.QuarantineThreshold {
			all = append(all, fingerprint)
		}
	}
	slices.Sort(all)
	return all
}

// evidence sums up the failures of which one request is a suspect.
type evidence struct {
	// total is the number of failures of which the request is not cleared;
	// unattributed counts those not attributed to a quarantined request.
	total        int
	unattributed int
	// servers are those of the latter failures that were not simultaneous.
	servers []string
	// counted are the servers whose failures count against the request.
	counted []string
	// decidableAt is when peers had time to report on all of counted.
	decidableAt time.Time
}

// collectEvidence collects the evidence against a request. Failures up to its
// release from quarantine are left out.
func (t *Tracker) collectEvidence(fingerprint serving.Fingerprint) evidence {
	var found evidence
	entry := t.quarantines[fingerprint]
	failures := t.failures()
	suspectedBefore := false
	for _, f := range failures {
		if !t.isSuspect(f, fingerprint) || entry.Released && !f.at.After(entry.Since) {
			continue
		}
		attributed := t.attributedToOther(f, fingerprint)
		found.total++
		if !attributed {
			found.unattributed++
		}
		if !attributed && !f.simultaneous {
			found.servers = append(found.servers, f.server)
		}
		if !attributed && !f.simultaneous && suspectedBefore && t.noOtherRecurringCandidate(failures, f, fingerprint) {
			found.counted = append(found.counted, f.server)
			found.postponeTo(f.lastReportAt.Add(t.reportDelay(f, fingerprint)))
		}
		suspectedBefore = true
	}
	return found
}

// postponeTo moves decidableAt to the given time if that is later.
func (e *evidence) postponeTo(at time.Time) {
	if at.After(e.decidableAt) {
		e.decidableAt = at
	}
}

// reportDelay returns how long after its last report the failure counts against
// the request: longer while another candidate may still prove to be the cause.
func (t *Tracker) reportDelay(f *serverFailure, fingerprint serving.Fingerprint) time.Duration {
	for other := range f.suspects {
		if other != fingerprint && t.isCandidate(f, other) {
			return t.settings.ClearanceDelay
		}
	}
	return t.settings.PropagationDelay
}

// failures returns the reported failures, joined again after a change.
func (t *Tracker) failures() []*serverFailure {
	if t.joinedFailures == nil {
		t.joinedFailures = joinReports(t.reports, t.settings)
		t.markSimultaneous(t.joinedFailures)
	}
	return t.joinedFailures
}

// markSimultaneous marks simultaneous failures: at least SimultaneousThreshold within
// SimultaneousWindow. Failures that a candidate for an earlier failure explains are
// not counted, so that several poison requests at a time are not taken for a rack.
func (t *Tracker) markSimultaneous(failures []*serverFailure) {
	for i, first := range failures {
		unexplained, end := 0, i
		for end < len(failures) && failures[end].at.Sub(first.at) <= t.settings.SimultaneousWindow {
			if !t.explainedByEarlier(failures[:i], failures[end]) {
				unexplained++
			}
			end++
		}
		if unexplained < t.settings.SimultaneousThreshold {
			continue
		}
		for _, f := range failures[i:end] {
			f.simultaneous = true
		}
	}
}

// explainedByEarlier reports whether a suspect of the failure is a candidate for an
// earlier failure that was not simultaneous with others.
func (t *Tracker) explainedByEarlier(earlier []*serverFailure, f *serverFailure) bool {
	return slices.ContainsFunc(earlier, func(other *serverFailure) bool {
		if other.simultaneous {
			return false
		}
		for suspect := range f.suspects {
			if t.isCandidate(other, suspect) {
				return true
			}
		}
		return false
	})
}

// isCandidate reports whether the request is a candidate for the cause of the failure:
// a suspect that is not cleared, while the failure is not attributed to another.
func (t *Tracker) isCandidate(f *serverFailure, fingerprint serving.Fingerprint) bool {
	return t.isSuspect(f, fingerprint) && !t.attributedToOther(f, fingerprint)
}

// isSuspect reports whether the request was in flight at the failure and is not
// cleared of it.
func (t *Tracker) isSuspect(f *serverFailure, fingerprint serving.Fingerprint) bool {
	if _, inFlight := f.suspects[fingerprint]; !inFlight {
		return false
	}
	clearance, ok := t.clearances[fingerprint]
	return !ok || !clearance.clears(f)
}

// attributedToOther reports whether the failure is attributed to another request:
// one that was in flight and is quarantined.
func (t *Tracker) attributedToOther(f *serverFailure, fingerprint serving.Fingerprint) bool {
	for other := range f.suspects {
		if other != fingerprint && t.isQuarantined(other) {
			return true
		}
	}
	return false
}

func (t *Tracker) isQuarantined(fingerprint serving.Fingerprint) bool {
	entry, ok := t.quarantines[fingerprint]
	return ok && !entry.Released
}

// noOtherRecurringCandidate reports whether no other candidate for the failure is a
// candidate for another failure too. It is false when the reports are truncated.
func (t *Tracker) noOtherRecurringCandidate(failures []*serverFailure, f *serverFailure, fingerprint serving.Fingerprint) bool {
	if f.truncated {
		return false
	}
	for other := range f.suspects {
		if other != fingerprint && t.isCandidate(f, other) && t.isCandidateForAnother(failures, f, other) {
			return false
		}
	}
	return true
}

// isCandidateForAnother reports whether the request is a candidate for another failure.
func (t *Tracker) isCandidateForAnother(failures []*serverFailure, f *serverFailure, fingerprint serving.Fingerprint) bool {
	return slices.ContainsFunc(failures, func(other *serverFailure) bool {
		return other != f && t.isCandidate(other, fingerprint)
	})
}

// runsAtPeer reports whether a peer reported within RunningExpiry that the
// suspect is in flight there.
func (t *Tracker) runsAtPeer(now time.Time, fingerprint serving.Fingerprint) bool {
	run, ok := t.peerRuns[fingerprint]
	return ok && now.Sub(run.at) < t.settings.RunningExpiry
}

// runsLocally reports whether another request with the same fingerprint is in flight
// at this instance.
func (t *Tracker) runsLocally(fingerprint serving.Fingerprint, request string) bool {
	for _, inFlight := range t.running {
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
func (t *Tracker) exportRunning(now time.Time) []Running {
	var all []Running
	for fingerprint, run := range t.peerRuns {
		all = append(all, Running{Fingerprint: fingerprint, Instance: run.instance, Age: now.Sub(run.at)})
	}
	own := make(map[serving.Fingerprint]bool)
	for _, inFlight := range t.running {
		for _, running := range inFlight {
			if !own[running.fingerprint] && t.isSuspected(running.fingerprint) {
				own[running.fingerprint] = true
				all = append(all, Running{Fingerprint: running.fingerprint, Instance: t.instance})
			}
		}
	}
	slices.SortFunc(all, func(a, b Running) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}

// removeExpired removes expired entries.
func (t *Tracker) removeExpired(now time.Time) {
	count := len(t.reports)
	t.reports = slices.DeleteFunc(t.reports, func(report Report) bool {
		return now.Sub(report.At) > t.settings.SuspicionExpiry
	})
	if len(t.reports) != count {
		t.joinedFailures = nil
	}
	for fingerprint, clearance := range t.clearances {
		if now.Sub(clearance.At) > t.settings.SuspicionExpiry {
			delete(t.clearances, fingerprint)
		}
	}
	for fingerprint, run := range t.peerRuns {
		if now.Sub(run.at) > t.settings.RunningExpiry {
			delete(t.peerRuns, fingerprint)
		}
	}
	for fingerprint, intents := range t.intents {
		t.intents[fingerprint] = slices.DeleteFunc(intents, func(i Intent) bool {
			return now.Sub(i.confirmedAt) > t.settings.RunningExpiry
		})
		if len(t.intents[fingerprint]) == 0 {
			delete(t.intents, fingerprint)
		}
	}
	for fingerprint, entry := range t.quarantines {
		if now.Sub(entry.Since) > t.settings.QuarantineExpiry {
			delete(t.quarantines, fingerprint)
			t.joinedFailures = nil
		}
	}
}

// tryQuarantine quarantines a request if QuarantineThreshold failures count against
// it and peers had time to report on them. It reports whether it did.
func (t *Tracker) tryQuarantine(now time.Time, fingerprint serving.Fingerprint, found evidence) bool {
	if len(found.counted) < t.settings.QuarantineThreshold || now.Before(found.decidableAt) {
		return false
	}
	t.addQuarantine(Quarantine{Fingerprint: fingerprint, Since: now, Servers: found.servers})
	return true
}

// addQuarantine adds an entry. It keeps the newest entry of each request and the
// newest MaxQuarantines entries.
func (t *Tracker) addQuarantine(entry Quarantine) {
	if current, ok := t.quarantines[entry.Fingerprint]; ok && !entry.Since.After(current.Since) {
		return
	}
	t.quarantines[entry.Fingerprint] = entry
	t.joinedFailures = nil
	for len(t.quarantines) > t.settings.MaxQuarantines {
		oldest := slices.MinFunc(t.Quarantines(), func(a, b Quarantine) int { return a.Since.Compare(b.Since) })
		delete(t.quarantines, oldest.Fingerprint)
	}
}

// Release ends a quarantine at an operator's command and reports whether there was
// one. Failures up to now no longer count against the request.
func (t *Tracker) Release(now time.Time, fingerprint serving.Fingerprint) bool {
	entry, ok := t.quarantines[fingerprint]
	if !ok || entry.Released {
		return false
	}
	t.quarantines[fingerprint] = Quarantine{Fingerprint: fingerprint, Since: now, Released: true}
	t.joinedFailures = nil
	return true
}

// Quarantines returns every entry, also released ones, in order of fingerprint.
func (t *Tracker) Quarantines() []Quarantine {
	var all []Quarantine
	for _, entry := range t.quarantines {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Export returns the digest to send to peers.
func (t *Tracker) Export(now time.Time) Digest {
	t.removeExpired(now)
	digest := Digest{Reports: slices.Clone(t.reports), Quarantines: t.Quarantines(), Running: t.exportRunning(now)}
	for _, clearance := range t.clearances {
		if t.isSuspected(clearance.Fingerprint) {
			digest.Clearances = append(digest.Clearances, clearance)
		}
	}
	digest.Intents = t.exportIntents(now)
	slices.SortFunc(digest.Clearances, func(a, b Clearance) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return digest
}

// Import merges the digest of a peer into the tracker.
func (t *Tracker) Import(now time.Time, digest Digest) {
	for _, report := range digest.Reports {
		t.addReport(report)
	}
	for _, clearance := range digest.Clearances {
		t.addClearance(clearance)
	}
	for _, running := range digest.Running {
		at := now.Add(-running.Age)
		if running.Instance != t.instance && at.After(t.peerRuns[running.Fingerprint].at) {
			t.peerRuns[running.Fingerprint] = peerRun{instance: running.Instance, at: at}
		}
	}
	for _, intent := range digest.Intents {
		if intent.Instance != t.instance {
			intent.confirmedAt = now.Add(-intent.Age)
			t.addIntent(intent)
		}
	}
	for _, entry := range digest.Quarantines {
		t.addQuarantine(entry)
	}
	t.removeExpired(now)
}
