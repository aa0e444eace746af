package discovery

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// graceSince returns when the store was last known to become available again or to come back from an older copy, zero for
// never; mu is held.
func (f *Follower) graceSince(now time.Time) time.Time {
	since := f.availableSince
	if f.failing[watchServers] || f.peersUnavailable {
		since = now // The call that succeeds now is the first one.
	}
	for _, other := range []time.Time{f.eraSince, f.peersAvailableSince} {
		if other.After(since) {
			since = other
		}
	}
	return since
}

// StoreUnavailable reports whether this instance follows the store and the last call of a watch failed.
func (f *Follower) StoreUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.anyFailing()
}

// anyFailing reports whether the last call of a watch failed; mu is held.
func (f *Follower) anyFailing() bool {
	for _, failing := range f.failing {
		if failing {
			return true
		}
	}
	return false
}

// GraceLeft returns how much longer entries that expired while the store was unavailable may be written again, 0 when
// none is expected.
func (f *Follower) GraceLeft(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, missingEntryGrace-now.Sub(f.graceSince(now)))
}

// ExtendGrace records that peers expect such entries for a time from now.
func (f *Follower) ExtendGrace(now time.Time, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := now.Add(min(left, missingEntryGrace) - missingEntryGrace)
	if left > 0 && since.After(f.peersAvailableSince) {
		f.peersAvailableSince = since
	}
}

// RecordReturn records that peers know of the store's return from an older copy, whose missing entries have the whole grace.
func (f *Follower) RecordReturn(now time.Time) { f.ExtendGrace(now, missingEntryGrace) }

// RecordPeers records whether the store answers those peers that follow it.
func (f *Follower) RecordPeers(now time.Time, available bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if available {
		f.endPeersOutage(now)
	} else {
		f.peersUnavailable = true
	}
}

// endPeersOutage records that the store answers this instance or a peer; mu is held.
func (f *Follower) endPeersOutage(now time.Time) {
	if f.peersUnavailable {
		f.peersUnavailable, f.peersAvailableSince = false, now
	}
}

// RemoveUnlisted removes servers that a peer's list as of a revision shows to be removed, like removals by the store. A server
// that was adopted lately stays, because its own entry may not be written yet; a later list decides.
func (f *Follower) RemoveUnlisted(servers []*directory.Server, asOf revision.Revision) {
	for _, server := range servers {
		if !server.Adopted || time.Since(server.AdoptedAt) >= missingEntryGrace {
			f.removeAfterGrace(server.ID, asOf)
		}
	}
}

// removeAfterGrace removes a server whose entry is missing: at once, or at the end of
// missingEntryGrace when the store became available again or came back from an older copy less
// than that ago.
func (f *Follower) removeAfterGrace(id string, at revision.Revision) {
	now := time.Now()
	f.mu.Lock()
	since := f.graceSince(now)
	inGrace := now.Sub(since) < missingEntryGrace
	if inGrace {
		entry, waiting := f.missing[id]
		if !waiting {
			entry.removeAt = since.Add(missingEntryGrace)
		}
		entry.revision, entry.unlisted = max(entry.revision, at), nil
		f.missing[id] = entry
	}
	f.mu.Unlock()
	if !inGrace {
		f.removeServer(id, at)
	}
}
