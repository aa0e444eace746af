package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/control/orders"
	"github.com/wisteriahaven/wisteriahaven/decision/lease"
	decision "github.com/wisteriahaven/wisteriahaven/decision/orders"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/objectstore/httpstore"
	"github.com/wisteriahaven/wisteriahaven/serving/explain"
	standin "github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
	"github.com/wisteriahaven/wisteriahaven/standin/weightstore"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// waitLimit bounds a wait for something that must happen.
const waitLimit = 30 * time.Second

// fixed is a configuration that never changes.
type fixed struct{ configuration *estate.Configuration }

func (f fixed) Current() *estate.Configuration { return f.configuration }

// quickLease is a lease that changes hands within a second.
func quickLease(holder string) lease.Settings {
	return lease.Settings{
		Holder:        holder,
		Duration:      600 * time.Millisecond,
		RenewInterval: 200 * time.Millisecond,
		MaxClockDrift: 100 * time.Millisecond,
		CallTimeout:   300 * time.Millisecond,
	}
}

func quickOrders() decision.Settings {
	return decision.Settings{
		ReplaceAfter: 200 * time.Millisecond,
		ReleaseAfter: 200 * time.Millisecond,
		RepeatAfter:  300 * time.Millisecond,
		OldLeaseWait: 700 * time.Millisecond,
		MaxTransfers: 2,
	}
}

func startEngine(t *testing.T, settings standin.Settings) *standin.Engine {
	t.Helper()
	started, err := standin.Start(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	return started
}

func newKeeper(holder string, store *httpstore.Store, configuration *estate.Configuration, recorder *explain.Recorder) *orders.Controller {
	return orders.New(orders.Options{
		Instance:      holder,
		DataCentre:    "dc",
		Candidate:     func() bool { return true },
		Store:         store,
		Configuration: fixed{configuration},
		Recorder:      recorder,
		Engines:       engine.NewClient(),
		Logger:        zerolog.Nop(),
		Lease:         quickLease(holder),
		Orders:        quickOrders(),
		PollInterval:  100 * time.Millisecond,
	})
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: did not happen", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestSpareReplacesADeadEngine kills an engine, then the holder of the lease,
// then brings the engine back.
func TestSpareReplacesADeadEngine(t *testing.T) {
	is := is.New(t)
	api, err := objectapi.Start(objectapi.Settings{})
	is.NoErr(err)
	t.Cleanup(api.Stop)
	weights, err := weightstore.Start(weightstore.Settings{TransferTime: 20 * time.Millisecond})
	is.NoErr(err)
	t.Cleanup(weights.Stop)
	worker := startEngine(t, standin.Settings{Name: "worker", Model: "m", Version: "1", ChecksFencing: true})
	spare := startEngine(t, standin.Settings{Name: "spare", WeightStore: weights.URL()})
	configuration := &estate.Configuration{
		DataCentres: []estate.DataCentre{{Name: "dc", Region: "r"}},
		BackendServers: []estate.BackendServer{
			{Name: "worker", Address: worker.Address(), DataCentre: "dc", Service: "s", Model: "m", Version: "1", ChecksFencing: true},
			{Name: "spare", Address: spare.Address(), DataCentre: "dc", Service: "s", Spare: true},
		},
	}
	store := httpstore.New(api.URL())
	recorder := explain.NewRecorder(100)
	first := newKeeper("first", store, configuration, recorder)
	firstContext, stopFirst := context.WithCancel(context.Background())
	firstDone := make(chan struct{})
	go func() { defer close(firstDone); first.Run(firstContext) }()
	eventually(t, "the first instance holds the lease", func() bool { return first.Status().Holder })

	worker.Kill()
	eventually(t, "the spare serves", func() bool { return spare.Assignment() == "m 1" })
	is.True(len(recorder.Explain("spare")) > 0)

	stopFirst()
	<-firstDone
	second := newKeeper("second", store, configuration, recorder)
	secondContext, stopSecond := context.WithCancel(context.Background())
	secondDone := make(chan struct{})
	go func() { defer close(secondDone); second.Run(secondContext) }()
	eventually(t, "the second instance holds the lease", func() bool { return second.Status().Holder })
	is.Equal(spare.Assignment(), "m 1")

	is.NoErr(worker.Restart())
	eventually(t, "the spare is released", func() bool { return spare.Assignment() == " " })
	is.Equal(worker.Assignment(), "m 1")
	stopSecond()
	<-secondDone
}
