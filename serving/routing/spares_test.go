package routing_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving/routing"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	transport "github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// TestSpareServesTheModelThatItReports checks that a spare engine receives
// requests for a model only after it loaded that model on order.
func TestSpareServesTheModelThatItReports(t *testing.T) {
	is := is.New(t)
	spare, err := engine.Start(engine.Settings{Name: "spare"})
	is.NoErr(err)
	defer spare.Stop()
	declared := configuration()
	declared.BackendServers = []estate.BackendServer{
		{Name: "spare", Address: spare.Address(), DataCentre: "d1", Service: "s", Slots: 4, Spare: true},
	}
	router := newRouter(&source{declared})
	_, err = router.Route(request())
	is.True(fault.HasCode(err, fault.NoBackendServer))

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	poller := routing.NewPoller(router, 20*time.Millisecond, zerolog.Nop())
	go func() { defer close(done); poller.Run(ctx) }()
	defer func() { stop(); <-done }()
	_, err = transport.NewClient().Order(ctx, spare.Address(), engineapi.Order{Kind: engineapi.OrderLoad, Model: "m", Version: "1"})
	is.NoErr(err)
	for {
		route, err := router.Route(request())
		if err == nil {
			is.Equal(route.Server.Name, "spare")
			route.Done("succeeded")
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
