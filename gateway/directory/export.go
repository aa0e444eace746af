package directory

import (
	"slices"
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
	// NamesAll is set when Servers and Named together have all servers that the store may list, as of the revision AsOf:
	// others are removed. Older builds don't set it.
	NamesAll bool `json:",omitempty"`
	// Named are the IDs of servers that aren't in Servers.
	Named []string `json:",omitempty"`
	// Removed holds the removals that the peer may not have: revisions by server ID.
	Removed map[string]revision.Revision
	// GraceLeft is how much longer the entries that expired in an outage of the store may be written again; 0 when there was
	// no outage.
	GraceLeft time.Duration `json:",omitempty"`
	// UnderWay is the longest time for which the export was under way to the peer.
	UnderWay time.Duration `json:"-"`
}

// Export returns the changes after the revision that a peer has, from here or from elsewhere;
// everything for the zero revision and for one of an earlier era.
func (d *Directory) Export(after revision.Revision) Export { return d.export(after, false) }

// ExportNaming is Export that names all servers, so that the peer finds those whose removal nobody has on record.
func (d *Directory) ExportNaming(after revision.Revision) Export { return d.export(after, true) }

func (d *Directory) export(after revision.Revision, naming bool) Export {
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
	if d.asOf > 0 && (naming || export.Complete) {
		export.NamesAll, export.Named = true, d.otherNames(export.Servers)
	}
	return export
}

// otherNames returns the IDs of the servers that the store may list, in ascending order, except those of some; mu is held.
func (d *Directory) otherNames(except []*Server) []string {
	exported := idsOf(except)
	var names []string
	add := func(id string) {
		if !exported[id] {
			names = append(names, id)
		}
	}
	for id := range d.servers {
		add(id)
	}
	for id := range d.heldBack {
		add(id)
	}
	for id, removed := range d.removed {
		if !removed.byStore() {
			add(id)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Import applies the newer entries and removals of a peer's export and returns the
// number of changes. For an export that holds or names all servers it also returns those that the peer doesn't
// have although it has later changes: their entries were removed, or the store has lost them.
func (d *Directory) Import(export Export) (changed int, unlisted []*Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, server := range export.Servers {
		if server == nil || d.outdated(server, export.AsOf) {
			continue
		}
		if server.Adopted {
			server.AdoptedAt = now
		}
		if d.putLocked(server, server.writtenAfter(now, export.UnderWay)) {
			changed++
		}
	}
	current := export.AsOf >= d.asOf
	if current && export.NamesAll && d.knows(export.Named) {
		d.asOf = export.AsOf
	}
	for id, at := range export.Removed {
		if d.removeLocked(id, at) != nil {
			changed++
		}
	}
	d.revision = max(d.revision, export.Revision)
	if !current {
		return changed, nil
	}
	if d.currentSnapshot().Fingerprint == export.Fingerprint {
		d.asOf = export.AsOf
	}
	if export.Complete || export.NamesAll {
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
	return !d.holds(server.ID)
}

// holds reports whether a server is listed or held back; mu is held.
func (d *Directory) holds(id string) bool {
	_, held := d.heldBack[id]
	return held || d.servers[id] != nil
}

// knows reports whether each ID is that of a server which is listed, held back or recorded as removed; mu is held.
func (d *Directory) knows(names []string) bool {
	return !slices.ContainsFunc(names, func(id string) bool {
		_, removed := d.removed[id]
		return !removed && !d.holds(id)
	})
}

// missingIn returns the servers that an export neither holds nor names, except those with later
// entries; mu is held. Adopted servers count only where the export names all that the store may list.
func (d *Directory) missingIn(export *Export) []*Server {
	listed := idsOf(export.Servers)
	for _, id := range export.Named {
		listed[id] = true
	}
	var missing []*Server
	for id, server := range d.servers {
		if !listed[id] && server.Revision <= export.AsOf && (export.NamesAll || !server.Adopted) {
			missing = append(missing, server)
		}
	}
	for id, held := range d.heldBack {
		if !listed[id] && held.server.Revision <= export.AsOf && export.NamesAll {
			missing = append(missing, held.server)
		}
	}
	return missing
}

// idsOf returns the IDs of servers, of which some may be nil.
func idsOf(servers []*Server) map[string]bool {
	ids := make(map[string]bool, len(servers))
	for _, server := range servers {
		if server != nil {
			ids[server.ID] = true
		}
	}
	return ids
}
