// Package routing picks backend servers from the configuration in force.
package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Place is where the instance itself is.
type Place struct {
	DataCentre string
	Region     string
}

// Router implements serving.Router by a random choice.
type Router struct {
	configuration serving.ConfigurationSource
	place         Place
}

// New returns a router over the configuration in force.
func New(configuration serving.ConfigurationSource, place Place) *Router {
	return &Router{configuration: configuration, place: place}
}

// Route implements serving.Router.
func (r *Router) Route(request serving.RouteRequest) (serving.Route, error) {
	configuration := r.configuration.Current()
	if configuration == nil {
		return serving.Route{}, fault.New(fault.ConfigurationUnset, "no configuration is in force").WithExecution(fault.ExecutionNotRun)
	}
	candidates := slices.DeleteFunc(slices.Clone(configuration.BackendServers), func(server estate.BackendServer) bool {
		return !matches(request, server)
	})
	preferred := slices.DeleteFunc(slices.Clone(candidates), func(server estate.BackendServer) bool {
		return slices.Contains(request.Avoid, server.Name)
	})
	if len(preferred) > 0 {
		candidates = preferred
	}
	if len(candidates) == 0 {
		return serving.Route{}, fault.New(fault.NoBackendServer, "no backend server has model "+request.Model).WithExecution(fault.ExecutionNotRun)
	}
	server := candidates[rand.IntN(len(candidates))]
	return serving.Route{
		Server:         server,
		Reason:         "random choice",
		SameDataCentre: server.DataCentre == r.place.DataCentre,
		SameRegion:     configuration.Region(server.DataCentre) == r.place.Region,
		Done:           func(serving.AttemptOutcome) {},
	}, nil
}

func matches(request serving.RouteRequest, server estate.BackendServer) bool {
	return server.Service == request.Service &&
		server.Model == request.Model &&
		(request.Version == "" || server.Version == request.Version) &&
		!slices.Contains(request.Exclude, server.Name)
}
