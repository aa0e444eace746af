package filter_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/filter"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// view has server 0 near, 1 in the region, 2 elsewhere, 3 drained and 4 spare.
func view(request serving.RouteRequest, states ...snapshot.State) *snapshot.View {
	configuration := &estate.Configuration{
		DataCentres: []estate.DataCentre{{Name: "d1", Region: "r1"}, {Name: "d2", Region: "r1"}, {Name: "d3", Region: "r2"}},
		Rules:       []estate.Rule{{Name: "local", Regions: []string{"r1"}}},
		BackendServers: []estate.BackendServer{
			{Name: "s0", DataCentre: "d1"}, {Name: "s1", DataCentre: "d2"}, {Name: "s2", DataCentre: "d3"}, {Name: "s3", DataCentre: "d1"}, {Name: "s4", DataCentre: "d1", Spare: true},
		},
		Drains: []estate.Drain{{Kind: "backend-server", Name: "s3"}},
	}
	s := snapshot.Build(configuration, snapshot.Options{Place: snapshot.Place{DataCentre: "d1", Region: "r1"}})
	all := make(snapshot.States, len(s.Servers))
	for i := range all {
		all[i].Capacity = 2
	}
	copy(all, states)
	return snapshot.NewView(s, request, all)
}

func TestFilters(t *testing.T) {
	cases := []struct {
		filter  filter.Filter
		request serving.RouteRequest
		state   snapshot.State
		server  int
	}{
		{filter.Rules{}, serving.RouteRequest{}, snapshot.State{}, 2},
		{filter.Draining{}, serving.RouteRequest{}, snapshot.State{Draining: true}, 0},
		{filter.Draining{}, serving.RouteRequest{}, snapshot.State{}, 3},
		{filter.Loaded{}, serving.RouteRequest{Model: "m"}, snapshot.State{Reported: true, LoadedModel: "other"}, 0},
		{filter.Loaded{}, serving.RouteRequest{Model: "m"}, snapshot.State{}, 4},
		{filter.Reachable{}, serving.RouteRequest{}, snapshot.State{Unreachable: true}, 0},
		{filter.Breaker{}, serving.RouteRequest{}, snapshot.State{BreakerOpen: true}, 0},
		{filter.Excluded{}, serving.RouteRequest{Exclude: []string{"s0"}}, snapshot.State{}, 0},
		{filter.Isolated{}, serving.RouteRequest{IsolatedSuspect: true}, snapshot.State{Suspects: 1}, 0},
	}
	for _, c := range cases {
		t.Run(c.filter.Name(), func(t *testing.T) {
			is := is.New(t)
			is.True(!c.filter.Keep(view(c.request, c.state), c.server))
			is.True(c.filter.Keep(view(serving.RouteRequest{}), 1)) // an ordinary server stays
		})
	}
}

func TestSuspectsKeepNoOrdinaryRequestAway(t *testing.T) {
	is := is.New(t)
	is.True(filter.Isolated{}.Keep(view(serving.RouteRequest{}, snapshot.State{Suspects: 1}), 0))
}

func TestNearestGivesWayWhenFull(t *testing.T) {
	is := is.New(t)
	full, room := snapshot.State{Requests: 2, Capacity: 2}, snapshot.State{Capacity: 2}
	servers := []int{0, 1, 2}
	is.Equal(filter.Nearest{}.Prefer(view(serving.RouteRequest{}, room, room, room), servers), []int{0})
	is.Equal(filter.Nearest{}.Prefer(view(serving.RouteRequest{}, full, room, room), servers), []int{1})
	is.Equal(filter.Nearest{}.Prefer(view(serving.RouteRequest{}, full, full, room), servers), []int{2})
	is.Equal(filter.Nearest{}.Prefer(view(serving.RouteRequest{}, full, full, full), servers), []int{0})
	is.Equal(filter.Nearest{}.Prefer(view(serving.RouteRequest{NearServer: "s2"}, room, room, room), servers), []int{2})
}

func TestAvoidedIsOnlyAPreference(t *testing.T) {
	is := is.New(t)
	request := serving.RouteRequest{Avoid: []string{"s0"}}
	is.Equal(filter.Avoided{}.Prefer(view(request), []int{0, 1}), []int{1})
	is.Equal(len(filter.Avoided{}.Prefer(view(request), []int{0})), 0)
}
