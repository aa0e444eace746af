package routing

// ServerStatus is the state of one backend server for the dump.
type ServerStatus struct {
	Name     string `json:"name"`
	InFlight int    `json:"in_flight"`
	// Held is the estimated number of requests at the server.
	Held     int     `json:"held"`
	Capacity float64 `json:"capacity"`
	Breaker  string  `json:"breaker"`
	Leaving  bool    `json:"leaving,omitempty"`
	Drained  bool    `json:"drained,omitempty"`
	// LoadedModel and LoadedVersion are what the server reports.
	LoadedModel   string `json:"loaded_model,omitempty"`
	LoadedVersion string `json:"loaded_version,omitempty"`
	Suspects      int    `json:"suspects,omitempty"`
}

// Status returns the state of every backend server of the snapshot.
func (r *Router) Status() []ServerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refresh() {
		return nil
	}
	now := r.now()
	all := make([]ServerStatus, 0, len(r.byIndex))
	for i, s := range r.byIndex {
		state := states{r, now}.State(i)
		all = append(all, ServerStatus{
			Name:          r.snapshot.Servers[i].Name,
			InFlight:      s.tracker.InFlight(),
			Held:          state.Requests,
			Capacity:      state.Capacity,
			Breaker:       string(s.breaker.State(now)),
			Leaving:       state.Draining,
			Drained:       r.snapshot.Servers[i].Drained,
			LoadedModel:   state.LoadedModel,
			LoadedVersion: state.LoadedVersion,
			Suspects:      state.Suspects,
		})
	}
	return all
}
