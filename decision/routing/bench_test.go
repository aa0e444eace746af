package routing_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/wisteriahaven/wisteriahaven/decision/routing"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// largeEstate has 10,000 backend servers of three models in 13 data centres.
func largeEstate() *estate.Configuration {
	configuration := &estate.Configuration{Services: []estate.Service{{Name: "s"}}, Rules: []estate.Rule{{Name: "all"}}}
	for i := range 13 {
		configuration.DataCentres = append(configuration.DataCentres, estate.DataCentre{Name: fmt.Sprint("d", i), Region: fmt.Sprint("r", i%4)})
	}
	for i := range 3 {
		configuration.Models = append(configuration.Models, estate.Model{Name: fmt.Sprint("m", i), DefaultVersion: "1"})
	}
	for i := range 10_000 {
		configuration.BackendServers = append(configuration.BackendServers, estate.BackendServer{
			Name: fmt.Sprint("server-", i), DataCentre: fmt.Sprint("d", i%13), Service: "s", Model: fmt.Sprint("m", i%3), Version: "1", Slots: 8,
		})
	}
	return configuration
}

func BenchmarkRoute(b *testing.B) {
	for _, size := range []int{0, 16} {
		b.Run(fmt.Sprint("subset-", size), func(b *testing.B) {
			options := snapshot.Options{Instance: "i", Place: snapshot.Place{DataCentre: "d0", Region: "r0"}, SubsetSize: size}
			s := snapshot.Build(largeEstate(), options)
			states := make(snapshot.States, len(s.Servers))
			for i := range states {
				states[i] = snapshot.State{Requests: i % 8, Capacity: 8}
			}
			request := serving.RouteRequest{RequestID: "x", Service: "s", Model: "m0", Prompt: strings.Repeat("p", 10_000), Purpose: serving.PurposeFirst}
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := routing.Default().Route(snapshot.NewView(s, request, states), random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
