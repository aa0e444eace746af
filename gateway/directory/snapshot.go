package directory

// Snapshot is an immutable view of the directory at one moment.
type Snapshot struct {
	// All holds all servers, sorted by ID.
	All []*Server
	// Fingerprint is equal in snapshots with the same servers and revisions.
	Fingerprint uint64
	services    map[string][]*Server
	ids         map[string]*Server
}

// Of returns the servers of a service.
func (s *Snapshot) Of(service string) []*Server { return s.services[service] }

// Find returns the server with an ID, or nil.
func (s *Snapshot) Find(id string) *Server { return s.ids[id] }

// At returns the server at an address, or nil.
func (s *Snapshot) At(address string) *Server {
	for _, server := range s.All {
		if server.Address == address {
			return server
		}
	}
	return nil
}
