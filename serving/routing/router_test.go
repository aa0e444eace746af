package routing_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/routing"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
)

// source is a ConfigurationSource that returns a field.
type source struct{ current *estate.Configuration }

func (s *source) Current() *estate.Configuration { return s.current }

func configuration(addresses ...string) *estate.Configuration {
	built := &estate.Configuration{
		DataCentres: []estate.DataCentre{{Name: "d1", Region: "r1"}, {Name: "d2", Region: "r2"}},
		Services:    []estate.Service{{Name: "s", Kind: estate.ServiceGeneration}},
		Models:      []estate.Model{{Name: "m", Versions: []string{"1"}, DefaultVersion: "1"}},
		Rules:       []estate.Rule{{Name: "all"}},
	}
	for i, address := range addresses {
		name := string(rune('a' + i))
		built.BackendServers = append(built.BackendServers, estate.BackendServer{
			Name: name, Address: address, DataCentre: "d1", Service: "s", Model: "m", Version: "1", Slots: 4,
		})
	}
	return built
}

func request() serving.RouteRequest {
	return serving.RouteRequest{ClientAccount: "a", Service: "s", Model: "m", Purpose: serving.PurposeFirst}
}

func newRouter(s *source) *routing.Router {
	return routing.New(s, routing.Options{Instance: "i", Place: routing.Place{DataCentre: "d1", Region: "r1"}, Seed: 1})
}

func TestServerWithOpenBreakerIsExcluded(t *testing.T) {
	is := is.New(t)
	router := newRouter(&source{configuration("x", "y")})
	for range 50 {
		route, err := router.Route(request())
		is.NoErr(err)
		outcome := serving.OutcomeSucceeded
		if route.Server.Name == "a" {
			outcome = serving.OutcomeUnreachable
		}
		route.Done(outcome)
		route.Done(serving.OutcomeBroken) // only the first counts
	}
	for range 20 {
		route, err := router.Route(request())
		is.NoErr(err)
		is.Equal(route.Server.Name, "b")
		route.Done(serving.OutcomeSucceeded)
	}
	status := router.Status()
	is.Equal(status[0].Breaker, "open")
	is.Equal(status[1].InFlight, 0)
}

func TestLeavingServerStaysExcludedUnderANewRevision(t *testing.T) {
	is := is.New(t)
	s := &source{configuration("x", "y")}
	router := newRouter(s)
	_, err := router.Route(request())
	is.NoErr(err)
	router.SetLeaving([]string{"a"})
	route, err := router.Route(request())
	is.NoErr(err)
	is.Equal(route.Server.Name, "b")
	s.current = configuration("x")
	_, err = router.Route(request())
	is.True(fault.HasCode(err, fault.NoBackendServer)) // the server is still leaving under the new revision
	router.SetLeaving(nil)
	_, err = router.Route(request())
	is.NoErr(err)
}

func TestSuspectsRunOnSeparateServers(t *testing.T) {
	is := is.New(t)
	router := newRouter(&source{configuration("x", "y")})
	suspect := request()
	suspect.IsolatedSuspect = true
	first, err := router.Route(suspect)
	is.NoErr(err)
	second, err := router.Route(suspect)
	is.NoErr(err)
	is.True(first.Server.Name != second.Server.Name)
	_, err = router.Route(suspect)
	is.True(fault.HasCode(err, fault.NoBackendServer))
	first.Done(serving.OutcomeBroken)
	_, err = router.Route(suspect)
	is.NoErr(err)
}

func TestCrossRegionBytesAreCountedForTheAccount(t *testing.T) {
	is := is.New(t)
	s := &source{configuration("x")}
	s.current.BackendServers[0].DataCentre = "d2"
	router := newRouter(s)
	route, err := router.Route(request())
	is.NoErr(err)
	route.Transferred(100)
	is.Equal(router.Traffic().CrossRegionBytes(), map[string]uint64{"a": 100})
}

func TestPollerAppliesLoadReports(t *testing.T) {
	// fasthttp's cleaners of idle connections end by themselves later.
	defer goleak.VerifyNone(t,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
	is := is.New(t)
	server, err := engine.Start(engine.Settings{Name: "a", Model: "m", Version: "2"})
	is.NoErr(err)
	defer server.Stop()
	router := newRouter(&source{configuration(server.Address())})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		routing.NewPoller(router, 10*time.Millisecond, zerolog.Nop()).Run(ctx)
		close(done)
	}()
	for router.Status()[0].LoadedVersion != "2" {
		time.Sleep(time.Millisecond)
	}
	_, err = router.Route(request())
	is.True(fault.HasCode(err, fault.NoBackendServer)) // the engine reports another version than declared
	cancel()
	<-done
}
