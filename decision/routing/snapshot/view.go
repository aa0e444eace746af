package snapshot

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// percentParts is the number of parts into which a shift divides the requests.
const percentParts = 100

// View joins one request with a snapshot and the state of the servers.
type View struct {
	*Snapshot
	Request serving.RouteRequest
	States  StateSource
	// Version is the version to serve.
	Version string
	// PreferredPlace is the place whose servers are preferred.
	PreferredPlace Place
	// Shifted means that an operator's shift moves the request to another region.
	Shifted bool
	// RuleResult is the result of the rules for the request.
	RuleResult RuleResult
}

// NewView joins a request with the snapshot and the state of the servers.
func NewView(s *Snapshot, request serving.RouteRequest, states StateSource) *View {
	view := &View{Snapshot: s, Request: request, States: states, PreferredPlace: s.Place}
	view.Version = s.Version(request.Model, request.Version)
	view.RuleResult = evaluateRules(s, request, view.Version)
	if index, ok := s.Index(request.NearServer); ok {
		near := s.Servers[index]
		view.PreferredPlace = Place{DataCentre: near.DataCentre, Region: near.Region}
		return view
	}
	if to, ok := view.shiftTarget(); ok {
		view.PreferredPlace = Place{Region: to}
		view.Shifted = true
	}
	return view
}

// shiftTarget returns the region to which a shift moves the request, and false
// when none does. The choice depends on a hash of the request id, so that a
// retry is sent to the same region.
func (v *View) shiftTarget() (string, bool) {
	bucket := int(xxhash.Sum64String(v.Request.RequestID) % percentParts)
	for _, shift := range v.shifts[v.Request.Model] {
		if shift.From != v.Place.Region {
			continue
		}
		if bucket < shift.Percent {
			return shift.To, true
		}
		bucket -= shift.Percent
	}
	return "", false
}
