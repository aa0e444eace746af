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

// removedLimit bounds the removals that are remembered.
const removedLimit = 4096

// Directory is the set of known backend servers. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	servers map[string]*Server
	// removed holds the servers that were removed, so that older news of them
	// from other instances does not bring them back.
	removed  map[string]removal
	revision uint64
	// changed is set when the snapshot is older than the servers. It is built when
	// somebody looks: changes come many at a time.
	changed  atomic.Bool
	snapshot atomic.Pointer[Snapshot]
}

// removal is what is remembered of a removed server.
type removal struct {
	// revision is that of the removal, known the directory's when it learned
	// of it, which is later when the server had time to come back.
	revision uint64
	known    uint64
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{servers: make(map[string]*Server), removed: make(map[string]removal)}
	d.publish()
	return d
}

// Snapshot returns the current servers.
func (d *Directory) Snapshot() *Snapshot {
	if d.changed.Load() {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.current()
	}
	return d.snapshot.Load()
}

// current returns the current servers; mu is held.
func (d *Directory) current() *Snapshot {
	if d.changed.Load() {
		d.publish()
		d.changed.Store(false)
	}
	return d.snapshot.Load()
}

// Put takes over one entry and reports whether it was news.
func (d *Directory) Put(server *Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(server)
}

func (d *Directory) put(server *Server) bool {
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

// Remove drops a server whose entry was removed at a revision, and returns it;
// nil when nothing was dropped.
func (d *Directory) Remove(id string, revision uint64) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remove(id, revision)
}

// remove is Remove; mu is held.
func (d *Directory) remove(id string, revision uint64) *Server {
	old := d.servers[id]
	if old != nil && old.Revision > revision {
		return nil
	}
	if len(d.removed) >= removedLimit {
		clear(d.removed)
	}
	d.revision = max(d.revision, revision)
	if before, known := d.removed[id]; !known || before.revision < revision {
		d.removed[id] = removal{revision: revision, known: d.revision}
	}
	if old != nil {
		delete(d.servers, id)
		d.changed.Store(true)
	}
	return old
}

// Adopt replaces a server by another process at its address, whose own entry is
// not known. It returns nil when the old one is not listed any more.
func (d *Directory) Adopt(old *Server, id string) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listed := d.servers[old.ID]; listed == nil || !listed.SameProcess(old) || d.servers[id] != nil {
		return nil
	}
	adopted := *old
	adopted.ID, adopted.Incarnation, adopted.Draining, adopted.Adopted = id, 0, false, true
	d.remove(old.ID, old.Revision)
	d.servers[id] = &adopted
	d.changed.Store(true)
	return &adopted
}

// Revision returns the highest revision seen.
func (d *Directory) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// publish builds the snapshot; mu is held.
func (d *Directory) publish() {
	// An address belongs to the server that registered last.
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

// fingerprint returns a hash of servers in the order of their ids.
func fingerprint(servers []*Server) uint64 {
	hash := xxhash.New()
	for _, server := range servers {
		// Writes to a hash never fail.
		_, _ = hash.WriteString(server.ID)
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, server.Revision))
	}
	return hash.Sum64()
}
