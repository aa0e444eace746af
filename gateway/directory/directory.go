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
	removed  map[string]removal
	revision uint64
	// changed is set when the snapshot is older than the servers. A new snapshot is
	// built only when it is read, because many changes arrive together.
	changed  atomic.Bool
	snapshot atomic.Pointer[Snapshot]
}

// removal records that a server was removed.
type removal struct {
	// revision is the store's revision at the removal. directoryRevision is the revision of
	// the directory when the removal was applied; it is higher when the removal was
	// deferred because the server's entry might have been written again.
	revision          uint64
	directoryRevision uint64
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{servers: make(map[string]*Server), removed: make(map[string]removal)}
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
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.putLocked(server)
}

// putLocked is Put; mu is held.
func (d *Directory) putLocked(server *Server) bool {
	if old := d.servers[server.ID]; old != nil && old.Revision >= server.Revision {
		return false
	}
	if d.removed[server.ID].revision >= server.Revision {
		return false
	}
	if server.Draining {
		server.DrainingSince = time.Now()
		if old := d.servers[server.ID]; old != nil && old.Draining && old.SameProcess(server) {
			server.DrainingSince = old.DrainingSince
		}
	}
	delete(d.removed, server.ID)
	d.servers[server.ID] = server
	d.changed.Store(true)
	d.revision = max(d.revision, server.Revision)
	return true
}

// Remove removes a server whose entry was removed at a revision, and returns it; nil when
// it wasn't listed or has a newer entry.
func (d *Directory) Remove(id string, revision uint64) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removeLocked(id, revision)
}

// removeLocked is Remove; mu is held.
func (d *Directory) removeLocked(id string, revision uint64) *Server {
	old := d.servers[id]
	if old != nil && old.Revision > revision {
		return nil
	}
	if len(d.removed) >= maxRemovals {
		clear(d.removed)
	}
	d.revision = max(d.revision, revision)
	if before, found := d.removed[id]; !found || before.revision < revision {
		d.removed[id] = removal{revision: revision, directoryRevision: d.revision}
	}
	if old != nil {
		delete(d.servers, id)
		d.changed.Store(true)
	}
	return old
}

// Adopt replaces a server by the process with the given ID that was found at its address
// and whose own entry has not been received. It returns nil when the old server isn't
// listed any more or the new ID is listed already.
func (d *Directory) Adopt(old *Server, id string) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listed := d.servers[old.ID]; listed == nil || !listed.SameProcess(old) || d.servers[id] != nil {
		return nil
	}
	adopted := *old
	adopted.ID, adopted.Incarnation, adopted.Draining, adopted.Adopted = id, 0, false, true
	d.removeLocked(old.ID, old.Revision)
	d.servers[id] = &adopted
	d.changed.Store(true)
	return &adopted
}

// Revision returns the highest store revision seen.
func (d *Directory) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

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
	d.snapshot.Store(snapshot)
}

// fingerprint returns a hash of the IDs and revisions of servers that are sorted by ID.
func fingerprint(servers []*Server) uint64 {
	hash := xxhash.New()
	for _, server := range servers {
		// Writes to a hash never fail.
		_, _ = hash.WriteString(server.ID)
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, server.Revision))
	}
	return hash.Sum64()
}
