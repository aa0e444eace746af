package directory

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// Export holds the changes of a directory that a peer needs.
type Export struct {
	Revision revision.Revision
	// Fingerprint is the fingerprint of all servers of the directory.
	Fingerprint uint64
	// Complete is set when Servers holds all servers.
	Complete bool
	// AsOf is the revision as of which the directory is complete, 0 when it never was.
	AsOf revision.Revision
	// Servers are the entries that are newer than the peer's revision, and all adopted servers.
	Servers []*Server
	// Removed holds the removals that the peer may not have: revisions by server ID.
	Removed map[string]revision.Revision
	// UnderWay is the longest time for which the export was under way to the peer.
	UnderWay time.Duration `json:"-"`
}

// Export returns the changes after the revision that a peer has, from here or from elsewhere;
// everything for the zero revision and for one of an earlier era.
func (d *Directory) Export(after revision.Revision) Export {
	d.mu.Lock()
	defer d.mu.Unlock()
	if after.Era() < d.position().Era() {
		after = 0
	}
	export := Export{Complete: after == 0, AsOf: d.asOf, Revision: d.revision, Fingerprint: d.currentSnapshot().Fingerprint, Removed: make(map[string]revision.Revision)}
	for id, removed := range d.removed {
		if removed.directoryRevision >= after {
			export.Removed[id] = removed.revision
		}
	}
	for _, server := range d.servers {
		admitted := server.admittedAt > 0 && server.admittedAt >= after
		if server.Revision > after || admitted || server.Adopted {
			export.Servers = append(export.Servers, server.exported(d.now()))
		}
	}
	return export
}

// Import applies the newer entries and removals of a peer's export and returns the
// number of changes. For a complete export it also returns the servers that the peer doesn't
// have although it has later changes: their entries were removed, or the store has lost them.
func (d *Directory) Import(export Export) (changed int, unlisted []*Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, server := range export.Servers {
		if server == nil || d.outdated(server, export.AsOf) {
			continue
		}
		if d.putLocked(server, server.writtenAfter(now, export.UnderWay)) {
			changed++
		}
	}
	for id, at := range export.Removed {
		if d.removeLocked(id, at) != nil {
			changed++
		}
	}
	d.revision = max(d.revision, export.Revision)
	if export.AsOf < d.asOf {
		return changed, nil
	}
	if d.currentSnapshot().Fingerprint == export.Fingerprint {
		d.asOf = export.AsOf
	}
	if export.Complete {
		unlisted = d.missingIn(&export)
	}
	return changed, unlisted
}

// outdated reports whether an entry of a peer's list as of a revision was removed since: the servers here are complete as
// of a later one and lack it. mu is held.
func (d *Directory) outdated(server *Server, asOf revision.Revision) bool {
	if asOf >= d.asOf || server.Revision > d.asOf || server.Adopted {
		return false
	}
	_, held := d.heldBack[server.ID]
	return !held && d.servers[server.ID] == nil
}

// missingIn returns the servers that a complete export doesn't list, except those with later
// entries; mu is held.
func (d *Directory) missingIn(export *Export) []*Server {
	listed := make(map[string]bool, len(export.Servers))
	for _, server := range export.Servers {
		if server != nil {
			listed[server.ID] = true
		}
	}
	var missing []*Server
	for id, server := range d.servers {
		if !listed[id] && !server.Adopted && server.Revision <= export.AsOf {
			missing = append(missing, server)
		}
	}
	return missing
}
