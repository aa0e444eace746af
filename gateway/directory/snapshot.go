package directory

// Snapshot is the directory at one moment. It is not changed.
type Snapshot struct {
	// All holds every server in the order of the ids.
	All []*Server
	// Fingerprint is equal where the servers and their entries are.
	Fingerprint uint64
	services    map[string][]*Server
	ids         map[string]*Server
}

// Of returns the servers of a service.
func (s *Snapshot) ForService(service string) []*Server { return s.services[service] }

// Find returns the server with an id, or nil.
func (s *Snapshot) Find(id string) *Server { return s.ids[id] }

// At returns the server that owns an address, or nil.
func (s *Snapshot) FindByAddress(address string) *Server {
	for _, server := range s.All {
		if server.Address == address {
			return server
		}
	}
	return nil
}
