package forward

// reachable reports whether a service has a server that takes requests, has not failed the request and is not
// avoided.
func (s *selector) reachable(service string, failed func(id string) bool) bool {
	for _, server := range s.directory.Snapshot().ForService(service) {
		if !server.Draining && !failed(server.ID) && !s.avoided(server) {
			return true
		}
	}
	return false
}
