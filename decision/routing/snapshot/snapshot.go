package snapshot

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// Options describe the instance for which a snapshot is built.
type Options struct {
	Instance string
	Place    Place
	// SubsetSize is the maximum number of servers kept for each group of
	// interchangeable servers in one data centre; zero keeps all.
	SubsetSize int
}

// group is the key of servers that are interchangeable.
type group struct {
	service string
	model   string
	version string
}

// Snapshot is the routing part of one configuration revision. It is immutable.
type Snapshot struct {
	Revision uint64
	Place    Place
	Servers  []Server
	Rules    []estate.Rule

	groups   map[group][]int
	spares   map[string][]int
	indices  map[string]int
	regions  map[string]string
	services map[string]bool
	versions map[string]string
	shifts   map[string][]estate.Shift
}

// Build returns the snapshot of a configuration for one instance.
func Build(configuration *estate.Configuration, options Options) *Snapshot {
	s := &Snapshot{
		Revision: configuration.Revision,
		Place:    options.Place,
		Rules:    configuration.Rules,
		groups:   make(map[group][]int),
		spares:   make(map[string][]int),
		indices:  make(map[string]int, len(configuration.BackendServers)),
		regions:  make(map[string]string, len(configuration.DataCentres)),
		services: make(map[string]bool, len(configuration.Services)),
		versions: make(map[string]string, len(configuration.Models)),
		shifts:   make(map[string][]estate.Shift),
	}
	for _, dataCentre := range configuration.DataCentres {
		s.regions[dataCentre.Name] = dataCentre.Region
	}
	for _, service := range configuration.Services {
		s.services[service.Name] = true
	}
	for _, model := range configuration.Models {
		s.versions[model.Name] = model.DefaultVersion
	}
	for _, shift := range configuration.Shifts {
		s.shifts[shift.Model] = append(s.shifts[shift.Model], shift)
	}
	s.addServers(configuration, options)
	return s
}

// Index returns the index of a server by name.
func (s *Snapshot) Index(name string) (int, bool) {
	index, ok := s.indices[name]
	return index, ok
}

// HasService reports whether the service is configured.
func (s *Snapshot) HasService(name string) bool { return s.services[name] }

// Region returns the region of a data centre.
func (s *Snapshot) Region(dataCentre string) string { return s.regions[dataCentre] }

// Version returns the version to serve: the pinned one, or the model's default.
func (s *Snapshot) Version(model, pinned string) string {
	if pinned != "" || model == "" {
		return pinned
	}
	return s.versions[model]
}

// Candidates returns the indices of the servers of a service, model and
// version, and of the service's spare servers, which may have the model loaded.
// The caller must not change the result.
func (s *Snapshot) Candidates(service, model, version string) []int {
	declared, spares := s.groups[group{service, model, version}], s.spares[service]
	if model == "" || len(spares) == 0 {
		return declared
	}
	return slices.Concat(declared, spares)
}

func (s *Snapshot) addServers(configuration *estate.Configuration, options Options) {
	drained := drainedNames(configuration)
	kept := subset(configuration.BackendServers, options)
	for _, declared := range configuration.BackendServers {
		if kept != nil && !kept[declared.Name] {
			continue
		}
		index := len(s.Servers)
		s.Servers = append(s.Servers, Server{
			BackendServer: declared,
			Region:        s.regions[declared.DataCentre],
			Drained:       drained.servers[declared.Name] || drained.dataCentres[declared.DataCentre],
			Digest:        rendezvous.DigestOf(declared.Name),
		})
		s.indices[declared.Name] = index
		if declared.Spare {
			s.spares[declared.Service] = append(s.spares[declared.Service], index)
			continue
		}
		key := group{declared.Service, declared.Model, declared.Version}
		s.groups[key] = append(s.groups[key], index)
	}
}

// subset returns the names of the servers that the instance keeps, or nil for all. Of
// each group and data centre it keeps the servers with the highest rendezvous
// weights, so that every data centre that a rule allows is still represented.
func subset(servers []estate.BackendServer, options Options) map[string]bool {
	if options.SubsetSize <= 0 {
		return nil
	}
	type cell struct {
		group      group
		dataCentre string
	}
	names := make(map[cell][]string)
	for _, server := range servers {
		key := cell{group{server.Service, server.Model, server.Version}, server.DataCentre}
		names[key] = append(names[key], server.Name)
	}
	kept := make(map[string]bool)
	for _, members := range names {
		for _, name := range rendezvous.Top(options.Instance, members, options.SubsetSize) {
			kept[name] = true
		}
	}
	return kept
}
