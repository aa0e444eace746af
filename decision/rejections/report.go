package rejections

import (
	"cmp"
	"slices"
	"time"
)

// ServiceLimit is the rejection limit of a service's servers.
type ServiceLimit struct {
	Service string
	Limit   int
}

// ServerRejections holds the times of the latest rejections by a server, oldest first.
type ServerRejections struct {
	Server string
	Times  []time.Time
}

// OwnStatements returns the limits that servers stated to this instance lately, in the order of the services.
func (t *Table) OwnStatements(now time.Time) []ServiceLimit {
	var limits []ServiceLimit
	for service, s := range t.services {
		if now.Sub(s.ownAt) <= announceTime {
			limits = append(limits, ServiceLimit{Service: service, Limit: s.limit})
		}
	}
	slices.SortFunc(limits, func(a, b ServiceLimit) int { return cmp.Compare(a.Service, b.Service) })
	return limits
}

// OwnRejections returns the rejections of this instance's requests that still matter, those of the servers with the latest
// ones if there are many.
func (t *Table) OwnRejections(now time.Time) []ServerRejections {
	var reports []ServerRejections
	for server, r := range t.servers {
		recent := slices.DeleteFunc(slices.Clone(r.own), func(at time.Time) bool { return now.Sub(at) >= learningTime })
		if len(recent) > 0 {
			reports = append(reports, ServerRejections{Server: server, Times: recent})
		}
	}
	slices.SortFunc(reports, func(a, b ServerRejections) int {
		return cmp.Or(b.Times[len(b.Times)-1].Compare(a.Times[len(a.Times)-1]), cmp.Compare(a.Server, b.Server))
	})
	return reports[:min(len(reports), maxReportedServers)]
}
