package directory

// Export is the content of a directory for another instance.
type Export struct {
	Revision uint64
	// Fingerprint is that of all servers.
	Fingerprint uint64
	// Servers are the entries that are newer than the other instance's.
	Servers []*Server
	// Removed holds the revisions of the removals that the other instance may not
	// know.
	Removed map[string]uint64
}

// Export returns the content beyond a revision that another instance got from
// here or elsewhere.
func (d *Directory) Export(after uint64) Export {
	d.mu.Lock()
	defer d.mu.Unlock()
	export := Export{Revision: d.revision, Fingerprint: d.current().Fingerprint, Removed: make(map[string]uint64)}
	for id, removed := range d.removed {
		if removed.known >= after {
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

// Import takes over what is newer in another directory's content and returns
// the number of changes.
func (d *Directory) Import(export Export) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := 0
	for _, server := range export.Servers {
		if server != nil && d.put(server) {
			changed++
		}
	}
	for id, revision := range export.Removed {
		if d.remove(id, revision) != nil {
			changed++
		}
	}
	d.revision = max(d.revision, export.Revision)
	return changed
}
