package directory

// Snapshot is an immutable view of the directory at one moment.
type Snapshot struct {
	// All holds all servers, sorted by ID.
	All []*Server
	// Fingerprint is equal in snapshots with the same servers and revisions.
	Fingerprint uint64
	// SeveralVersions is set when a service has servers of several known software versions.
	SeveralVersions bool
	services        map[string][]*Server
	ids             map[string]*Server
}

// ForService returns the servers of a service.
func (s *Snapshot) ForService(service string) []*Server { return s.services[service] }

// Find returns the server with an ID, or nil.
func (s *Snapshot) Find(id string) *Server { return s.ids[id] }

// Current returns the current entry of the process of an earlier entry, nil if it is no longer listed.
func (s *Snapshot) Current(server *Server) *Server {
	if listed := s.Find(server.ID); listed != nil && listed.MayBeSameProcess(server) {
		return listed
	}
	return nil
}

// Leaves reports whether the process of an entry drains or is no longer listed.
func (s *Snapshot) Leaves(server *Server) bool {
	current := s.Current(server)
	return current == nil || current.Draining
}

// FindByAddress returns the server at an address, or nil.
func (s *Snapshot) FindByAddress(address string) *Server {
	for _, server := range s.All {
		if server.Address == address {
			return server
		}
	}
	return nil
}
