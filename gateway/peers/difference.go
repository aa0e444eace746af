package peers

import "time"

// ServersDifference returns how long this instance's list of backend servers has differed from that of a relay that
// is not behind it; 0 while it does not.
func (s *Service) ServersDifference(now time.Time) time.Duration {
	own := s.localState()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ServersDifference(now, own)
}

// ServersDifference is Service.ServersDifference for a state of this instance.
func (t *Table) ServersDifference(now time.Time, own LocalState) time.Duration {
	differs := false
	for _, p := range t.peers {
		differs = differs || p.readsStore(now) && p.servers != own.Servers && p.position() >= own.position()
	}
	return t.difference.update(now, 0, differs)
}
