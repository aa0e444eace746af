package snapshot_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

func configuration(servers int) *estate.Configuration {
	built := &estate.Configuration{
		DataCentres: []estate.DataCentre{{Name: "d0", Region: "r0"}, {Name: "d1", Region: "r1"}},
		Shifts:      []estate.Shift{{Model: "m", From: "r0", To: "r1", Percent: 30}},
	}
	for i := range servers {
		built.BackendServers = append(built.BackendServers, estate.BackendServer{Name: fmt.Sprint("s", i), DataCentre: fmt.Sprint("d", i%2), Service: "s"})
	}
	return built
}

func TestSubsetKeepsEveryDataCentreAndDiffersByInstance(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for i := range 50 {
		s := snapshot.Build(configuration(40), snapshot.Options{Instance: fmt.Sprint("i", i), SubsetSize: 4})
		perDataCentre := make(map[string]int)
		for _, server := range s.Servers {
			perDataCentre[server.DataCentre]++
			seen[server.Name] = true
		}
		is.Equal(perDataCentre, map[string]int{"d0": 4, "d1": 4})
	}
	is.Equal(len(seen), 40) // together the instances reach every server
}

func TestShiftMovesItsPercentage(t *testing.T) {
	is := is.New(t)
	s := snapshot.Build(configuration(2), snapshot.Options{Place: snapshot.Place{DataCentre: "d0", Region: "r0"}})
	shifted := 0
	for i := range 1000 {
		request := serving.RouteRequest{RequestID: fmt.Sprint("request-", i), Model: "m"}
		view := snapshot.NewView(s, request, nil)
		is.Equal(view.Shifted, view.PreferredPlace.Region == "r1")
		if view.Shifted {
			shifted++
		}
		request.NearServer = "s0"
		is.Equal(snapshot.NewView(s, request, nil).PreferredPlace.DataCentre, "d0") // a resume stays near its server
	}
	is.True(shifted > 250 && shifted < 350)
}
