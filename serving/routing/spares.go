package routing

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// served is the model version that a spare server reports.
type served struct {
	model   string
	version string
}

// noteSpare remembers what a spare server serves and marks the snapshot as
// stale when that changed. The caller holds the router's lock.
func (r *Router) noteSpare(name string, report engineapi.LoadReport) {
	index, found := r.snapshot.Index(name)
	if !found || !r.snapshot.Servers[index].Spare {
		return
	}
	now := served{model: report.Model, version: report.Version}
	if r.spares[name] != now {
		r.spares[name] = now
		r.stale = true
	}
}

// withSpares returns the configuration with the reported model versions of its
// spare servers, which declare none.
func (r *Router) withSpares(configuration *estate.Configuration) *estate.Configuration {
	if !slices.ContainsFunc(configuration.BackendServers, func(s estate.BackendServer) bool { return s.Spare }) {
		return configuration
	}
	joined := *configuration
	joined.BackendServers = slices.Clone(configuration.BackendServers)
	for i := range joined.BackendServers {
		server := &joined.BackendServers[i]
		if reported, known := r.spares[server.Name]; known && server.Spare {
			server.Model, server.Version = reported.model, reported.version
		}
	}
	return &joined
}
