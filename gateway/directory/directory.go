package directory

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// maxRemovals is the maximum number of removals kept; at the limit all are dropped.
const maxRemovals = 4096

// Directory is the set of known backend servers. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	servers map[string]*Server
	// removed holds the removed servers, so that outdated entries from peers do not
	// add them again.
	removed map[string]removal
	// heldBack holds the entries of removed servers that a later era of the store lists.
	heldBack map[string]heldEntry
	// revision is the store's revision of the last change.
	revision revision.Revision
	// asOf is the revision as of which the servers are complete: an entry of that revision or before which is neither listed
	// nor held back was removed, also where no removal is recorded. It is zero before the first list.
	asOf revision.Revision
	// hadServers is set once a server was listed.
	hadServers atomic.Bool
	// changed is set when the snapshot is older than the servers. A new snapshot is
	// built only when it is read, because many changes arrive together.
	changed  atomic.Bool
	snapshot atomic.Pointer[Snapshot]
	// now returns the time; tests replace it.
	now func() time.Time
}

// removal records that a server was removed.
type removal struct {
	// revision is the store's revision at the removal. directoryRevision is the position of
	// the directory when the removal was applied; it is higher when the removal was
	// deferred because the server's entry might have been written again.
	revision          revision.Revision
	directoryRevision revision.Revision
	// server is the entry at the removal, nil when the server was not listed.
	server *Server
	// mayReturn is set when an entry of a later era has been held back for long enough.
	mayReturn bool
}

// byStore reports whether the entry is missing in the store. Otherwise another server was found at the address.
func (r removal) byStore() bool { return r.server == nil || r.revision != r.server.Revision }

// New returns an empty directory.
func New() *Directory {
	d := &Directory{servers: make(map[string]*Server), removed: make(map[string]removal), heldBack: make(map[string]heldEntry), now: time.Now}
	d.buildSnapshot()
	return d
}

// Snapshot returns a snapshot of the current servers.
func (d *Directory) Snapshot() *Snapshot {
	if d.changed.Load() {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.currentSnapshot()
	}
	return d.snapshot.Load()
}

// currentSnapshot is Snapshot; mu is held.
func (d *Directory) currentSnapshot() *Snapshot {
	if d.changed.Load() {
		d.buildSnapshot()
		d.changed.Store(false)
	}
	return d.snapshot.Load()
}

// Put adds or updates a server and reports whether it did; an entry that isn't newer
// than the listed one or than the server's removal is discarded.
func (d *Directory) Put(server *Server) bool {
	return len(d.Apply([]*Server{server}, server.Revision, d.now())) > 0
}

// Apply puts entries of one answer of the store, which holds all changes up to asOf, and returns those that were not
// discarded. Entries of later pages of a list may be newer than asOf. No export holds only a part of them. writtenAfter is a time
// before which none of the entries was written, zero if that is unknown.
func (d *Directory) Apply(entries []*Server, asOf revision.Revision, writtenAfter time.Time) (applied []*Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, server := range entries {
		if d.putLocked(server, writtenAfter) {
			applied = append(applied, server)
			d.revision = max(d.revision, min(server.Revision, asOf))
		}
	}
	return applied
}

// putLocked puts the entry of a server, which was written after a time, without raising the directory's revision;
// mu is held.
func (d *Directory) putLocked(server *Server, writtenAfter time.Time) bool {
	if old := d.servers[server.ID]; old != nil && old.Revision >= server.Revision {
		return false
	}
	if d.removed[server.ID].revision >= server.Revision || d.holdBack(server) {
		return false
	}
	if old := d.servers[server.ID]; old != nil && server.precedes(old) && old.Revision.Era() < server.Revision.Era() {
		return false // the store has forgotten the newer process, which writes its entry again
	}
	d.keepDraining(server, writtenAfter)
	delete(d.removed, server.ID)
	delete(d.heldBack, server.ID)
	d.servers[server.ID] = server
	d.hadServers.Store(true)
	d.changed.Store(true)
	return true
}

// Emptied reports whether every server that was listed is gone. It isn't before the first one was listed.
func (d *Directory) Emptied() bool { return d.hadServers.Load() && len(d.Snapshot().All) == 0 }

// Unlisted returns the ids of the servers, listed or held back, that a list of the store as of a
// revision lacks. The list's entries were applied before.
func (d *Directory) Unlisted(listed map[string]bool, asOf revision.Revision) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asOf = max(d.asOf, asOf)
	var unlisted []string
	for id := range d.servers {
		if !listed[id] {
			unlisted = append(unlisted, id)
		}
	}
	for id := range d.heldBack {
		if !listed[id] {
			unlisted = append(unlisted, id)
		}
	}
	slices.Sort(unlisted)
	return unlisted
}

// MarkLeaving marks a listed server that stated itself that it leaves, and reports whether that
// is new. The mark stays with its process.
func (d *Directory) MarkLeaving(server *Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := d.servers[server.ID]
	if listed == nil || listed.Leaving || !listed.MayBeSameProcess(server) {
		return false
	}
	marked := *listed
	marked.Leaving, marked.Draining = true, true
	if !listed.Draining {
		marked.DrainingSince, marked.DrainingWrittenAfter = d.now(), d.now()
	}
	d.servers[server.ID] = &marked
	d.changed.Store(true)
	return true
}

// Remove removes a server whose entry was removed at a revision, and returns it; nil when
// it wasn't listed or has a newer entry.
func (d *Directory) Remove(id string, at revision.Revision) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removeLocked(id, at)
}

// Drop removes a server that a peer doesn't list, and reports whether it was still listed with
// the same entry. Unlike after Remove, the entry is listed again when it is put again.
func (d *Directory) Drop(server *Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listed := d.servers[server.ID]; listed == nil || listed.Revision != server.Revision {
		return false
	}
	delete(d.servers, server.ID)
	d.removed[server.ID] = removal{revision: server.Revision - 1, directoryRevision: d.position(), server: server}
	d.changed.Store(true)
	return true
}

// removeLocked is Remove; mu is held.
func (d *Directory) removeLocked(id string, at revision.Revision) *Server {
	old := d.servers[id]
	if old != nil && old.Revision > at {
		return nil
	}
	if held, waiting := d.heldBack[id]; waiting && held.server.Revision <= at {
		delete(d.heldBack, id)
	}
	if len(d.removed) >= maxRemovals {
		clear(d.removed)
	}
	d.revision = max(d.revision, at)
	if before, found := d.removed[id]; !found || before.revision < at {
		server := old
		if server == nil {
			server = before.server
		}
		d.removed[id] = removal{revision: at, directoryRevision: d.position(), server: server}
	}
	if old != nil {
		delete(d.servers, id)
		d.changed.Store(true)
	}
	return old
}

// Adopt replaces a server by the process with the given ID that was found at its address
// and whose own entry has not been received. It returns nil when the old server isn't
// listed any more, the new ID is listed already, or the new ID's entry was removed from the
// store, so that the server leaves. The software version is that of the old server, or unknown
// if that was leaving, since it may have made way for another version.
func (d *Directory) Adopt(old *Server, id string) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listed := d.servers[old.ID]; listed == nil || !listed.SameProcess(old) || d.servers[id] != nil {
		return nil
	}
	if gone, found := d.removed[id]; found && gone.byStore() {
		return nil
	}
	adopted := *old
	adopted.ID, adopted.Incarnation, adopted.Draining, adopted.Leaving, adopted.Adopted = id, 0, false, false, true
	adopted.AdoptedAt = d.now()
	if listed := d.servers[old.ID]; listed.Draining || old.Draining {
		adopted.SoftwareVersion = ""
	}
	d.removeLocked(old.ID, old.Revision)
	d.servers[id] = &adopted
	d.changed.Store(true)
	return &adopted
}

// Revision returns the store's revision of the last change.
func (d *Directory) Revision() revision.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// AsOf returns the store's revision as of which the servers are complete, 0 before the first list.
func (d *Directory) AsOf() revision.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf
}

// Advance records that all changes after the last list up to a revision were applied.
func (d *Directory) Advance(asOf revision.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.asOf > 0 {
		d.asOf = max(d.asOf, asOf)
	}
}

// position returns the latest revision that the directory knows of; mu is held.
func (d *Directory) position() revision.Revision { return max(d.revision, d.asOf) }

// buildSnapshot builds the snapshot; mu is held.
func (d *Directory) buildSnapshot() {
	// An address belongs to the server with the newest entry.
	owners := make(map[string]*Server, len(d.servers))
	for _, server := range d.servers {
		if owner := owners[server.Address]; owner == nil || owner.Revision < server.Revision {
			owners[server.Address] = server
		}
	}
	all := slices.SortedFunc(maps.Values(owners), func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	snapshot := &Snapshot{All: all, Fingerprint: fingerprint(all), services: make(map[string][]*Server), ids: make(map[string]*Server, len(all))}
	for _, server := range all {
		snapshot.services[server.Service] = append(snapshot.services[server.Service], server)
		snapshot.ids[server.ID] = server
	}
	snapshot.SeveralVersions = severalVersions(all)
	d.snapshot.Store(snapshot)
}

// severalVersions reports whether any service has servers of several software versions.
func severalVersions(servers []*Server) bool {
	versions := make(map[string]string)
	for _, server := range servers {
		if server.SoftwareVersion == "" {
			continue
		}
		if other, found := versions[server.Service]; found && other != server.SoftwareVersion {
			return true
		}
		versions[server.Service] = server.SoftwareVersion
	}
	return false
}

// fingerprint returns a hash of the IDs and revisions of servers that are sorted by ID.
func fingerprint(servers []*Server) uint64 {
	hash := xxhash.New()
	for _, server := range servers {
		// Writes to a hash never fail.
		_, _ = hash.WriteString(server.ID)
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(server.Revision)))
	}
	return hash.Sum64()
}
