package directory

import "time"

// heldEntry is the entry of a server that was removed in an earlier era.
type heldEntry struct {
	server *Server
	since  time.Time
}

// holdBackTime is how long the entry of a removed server is held back after the store came back
// from an older copy, in which the server was still listed. By then the store has removed it
// again, unless its server runs and renews it.
const holdBackTime = 5 * time.Second

// keepDraining carries over to a new entry that its process drains: by its own word, or
// by an entry of an earlier era, because the store may have forgotten that. writtenAfter is as for
// Apply; mu is held.
func (d *Directory) keepDraining(server *Server, writtenAfter time.Time) {
	old := d.servers[server.ID]
	if old == nil {
		old = d.removed[server.ID].server
	}
	if old == nil || !old.MayBeSameProcess(server) {
		old = &Server{} // nothing is known of this process
	}
	server.Leaving = server.Leaving || old.Leaving
	forgotten := old.Draining && old.Revision.Era() < server.Revision.Era()
	server.Draining = server.Draining || server.Leaving || forgotten
	switch {
	case !server.Draining:
	case old.Draining:
		server.DrainingSince, server.DrainingWrittenAfter = old.DrainingSince, old.DrainingWrittenAfter
	default:
		server.DrainingSince, server.DrainingWrittenAfter = d.now(), writtenAfter
	}
}

// holdBack reports whether an entry must wait for AdmitHeldBack, and keeps it until then: its
// process, or a later one with its id, was removed in an earlier era, and the entry may come
// from the copy from which the store came back. A second entry of that era shows that the
// process runs. mu is held.
func (d *Directory) holdBack(server *Server) bool {
	removed, found := d.removed[server.ID]
	if !found || removed.mayReturn || removed.revision.Era() >= server.Revision.Era() || removed.server == nil {
		return false
	}
	if !removed.server.MayBeSameProcess(server) && !server.precedes(removed.server) {
		return false
	}
	held, waiting := d.heldBack[server.ID]
	switch {
	case !waiting:
		held.since = d.now()
	case held.server.Revision >= server.Revision:
		return true
	case held.server.Revision.Era() == server.Revision.Era():
		return false
	}
	held.server = server
	d.heldBack[server.ID] = held
	return true
}

// AdmitHeldBack lists the servers whose entries were held back for holdBackTime.
func (d *Directory) AdmitHeldBack() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for id, held := range d.heldBack {
		if now.Sub(held.since) < holdBackTime {
			continue
		}
		delete(d.heldBack, id)
		held.server.admittedAt = d.position()
		removed := d.removed[id]
		removed.mayReturn = true
		d.removed[id] = removed
		d.putLocked(held.server, held.since)
	}
}
