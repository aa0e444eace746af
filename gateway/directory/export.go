package directory

// Export holds the changes of a directory that a peer needs.
type Export struct {
	Revision uint64
	// Fingerprint is the fingerprint of all servers of the directory.
	Fingerprint uint64
	// Servers are the entries that are newer than the peer's revision, and all adopted servers.
	Servers []*Server
	// Removed holds the removals that the peer may not have: revisions by server ID.
	Removed map[string]uint64
}

// Export returns the changes after the revision that a peer has, from here or from elsewhere.
func (d *Directory) Export(after uint64) Export {
	d.mu.Lock()
	defer d.mu.Unlock()
	export := Export{Revision: d.revision, Fingerprint: d.currentSnapshot().Fingerprint, Removed: make(map[string]uint64)}
	for id, removed := range d.removed {
		if removed.directoryRevision >= after {
			export.Removed[id] = removed.revision
		}
	}
	for _, server := range d.servers {
		if server.Revision > after || server.Adopted {
			export.Servers = append(export.Servers, server)
		}
	}
	return export
}

// Import applies the newer entries and removals of a peer's export and returns the
// number of changes.
func (d *Directory) Import(export Export) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := 0
	for _, server := range export.Servers {
		if server != nil && d.putLocked(server) {
			changed++
		}
	}
	for id, revision := range export.Removed {
		if d.removeLocked(id, revision) != nil {
			changed++
		}
	}
	d.revision = max(d.revision, export.Revision)
	return changed
}
