package snapshot

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// percentParts is the number of parts that shifts are counted in.
const percentParts = 100

// View is one request before the snapshot and the state of the servers.
type View struct {
	*Snapshot
	Request serving.RouteRequest
	States  StateSource
	// Version is the version to serve.
	Version string
	// Near is the preferred place.
	PreferredPlace Place
	// Shifted means that an operator's shift moved Near to another region.
	Shifted bool
	// Verdict says what the rules allow.
	RuleResult RuleResult
}

// NewView joins a request with the snapshot and the state of the servers.
func NewView(s *Snapshot, request serving.RouteRequest, states StateSource) *View {
	view := &View{Snapshot: s, Request: request, States: states, PreferredPlace: s.Place}
	view.Version = s.Version(request.Model, request.Version)
	view.RuleResult = judge(s, request, view.Version)
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

// shiftTarget returns the region that a shift sends this request to. The
// request id decides, so that a retry goes the same way.
func (v *View) shiftTarget() (string, bool) {
	part := int(xxhash.Sum64String(v.Request.RequestID) % percentParts)
	for _, shift := range v.shifts[v.Request.Model] {
		if shift.From != v.Place.Region {
			continue
		}
		if part < shift.Percent {
			return shift.To, true
		}
		part -= shift.Percent
	}
	return "", false
}
