package orders_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/orders"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

// Size of the property test.
const (
	casesInCI    = 500
	stepsPerCase = 120
)

func TestMain(m *testing.M) {
	fixedseed.ApplyWithChecks(casesInCI)
	os.Exit(m.Run())
}

// engine is a model engine as its maker describes it.
type engine struct {
	orders.Server
	fencing uint64
	loadEnd time.Duration
}

// apply carries out an order that arrives.
func (e *engine) apply(now time.Duration, order orders.Order) {
	if e.ChecksFencing && order.FencingToken < e.fencing {
		return
	}
	e.fencing = max(e.fencing, order.FencingToken)
	if !e.Alive || e.Observed == order.Desired {
		return
	}
	e.Observed = order.Desired
	e.Loading = order.Kind == engineapi.OrderLoad
	e.loadEnd = now + time.Second
}

// holder is one reconciler and what it remembers of the engines.
type holder struct {
	reconciler *orders.Reconciler
	lease      orders.Lease
	returned   map[string]bool
}

// sentOrder is an order on its way.
type sentOrder struct {
	order  orders.Order
	sentAt time.Duration
}

type world struct {
	now      time.Duration
	settings orders.Settings
	engines  []*engine
	holder   *holder
	fencing  uint64
	inFlight []sentOrder
}

func newWorld(t *rapid.T) *world {
	w := &world{settings: orders.DefaultSettings()}
	assignments := []orders.Assignment{{Model: "m", Version: "1"}, {Model: "m", Version: "2"}}
	for i := range 6 {
		spare := i >= 4
		server := orders.Server{
			Name:          fmt.Sprintf("engine-%d", i),
			DataCentre:    fmt.Sprintf("dc-%d", i%2),
			Region:        "r",
			Service:       "s",
			Spare:         spare,
			ChecksFencing: rapid.Bool().Draw(t, "fencing"),
			Alive:         true,
		}
		if !spare {
			server.Declared = rapid.SampledFrom(assignments).Draw(t, "declared")
		}
		w.engines = append(w.engines, &engine{Server: server})
	}
	w.newHolder()
	return w
}

func (w *world) newHolder() {
	w.fencing += 10
	w.holder = &holder{
		reconciler: orders.New(w.settings),
		lease:      orders.Lease{FencingToken: w.fencing, HeldSince: w.now},
		returned:   make(map[string]bool),
	}
}

func (w *world) input() orders.Input {
	input := orders.Input{Lease: w.holder.lease}
	for _, e := range w.engines {
		if !e.Alive {
			w.holder.returned[e.Name] = true
		}
		if e.Loading && w.now >= e.loadEnd {
			e.Loading = false
		}
		server := e.Server
		server.FailedBefore = w.holder.returned[e.Name]
		input.Servers = append(input.Servers, server)
	}
	return input
}

// reconcile lets the holder give its orders.
func (w *world) reconcile() {
	for _, order := range w.holder.reconciler.Step(w.now, w.input()) {
		w.inFlight = append(w.inFlight, sentOrder{order, w.now})
	}
}

// arrive delivers the order at an index.
func (w *world) arrive(index int) {
	sent := w.inFlight[index]
	w.inFlight = append(w.inFlight[:index], w.inFlight[index+1:]...)
	for _, e := range w.engines {
		if e.Name == sent.order.Server {
			e.apply(w.now, sent.order)
		}
	}
}

func (w *world) act(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		w.now += time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond
	case 3, 4:
		w.reconcile()
	case 5, 6:
		if len(w.inFlight) > 0 {
			w.arrive(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "order"))
		}
	case 7:
		e := rapid.SampledFrom(w.engines).Draw(t, "engine")
		e.Alive, e.AliveChangedAt = !e.Alive, w.now
		e.Loading = false
		if e.Alive && rapid.Bool().Draw(t, "restarted") {
			e.Observed, e.fencing = orders.Assignment{}, 0
		}
	case 8:
		if len(w.inFlight) > 0 {
			w.inFlight = w.inFlight[1:]
		}
	default:
		w.newHolder()
	}
}

// heal delivers every late order and lets the holder work undisturbed.
func (w *world) heal() {
	for len(w.inFlight) > 0 {
		w.arrive(0)
	}
	for range 120 {
		w.now += time.Second
		w.reconcile()
		for len(w.inFlight) > 0 {
			w.arrive(0)
		}
	}
}

// check compares the healed estate with what its users expect: live declared
// engines serve what is declared, and as many spares as can stand in for dead
// ones.
func (w *world) check(t *rapid.T) {
	missing := make(map[orders.Assignment]int)
	spares := 0
	for _, e := range w.engines {
		switch {
		case e.Spare && e.Alive:
			spares++
		case e.Spare:
		case !e.Alive:
			missing[e.Declared]++
		case e.Observed != e.Declared:
			t.Fatalf("%s serves %v, declared %v", e.Name, e.Observed, e.Declared)
		}
	}
	dead, replaced, idle := 0, 0, 0
	for _, count := range missing {
		dead += count
	}
	for _, e := range w.engines {
		if !e.Spare || !e.Alive {
			continue
		}
		switch {
		case e.Observed.None():
			idle++
		case missing[e.Observed] > 0:
			missing[e.Observed]--
			replaced++
		default:
			t.Fatalf("spare %s serves %v, which nobody needs", e.Name, e.Observed)
		}
	}
	if replaced != min(dead, spares) || idle != spares-replaced {
		t.Fatalf("%d dead, %d spares, %d replaced", dead, spares, replaced)
	}
}

func TestEstateConvergesAfterOldOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range stepsPerCase {
			w.act(t)
		}
		w.heal()
		w.check(t)
	})
}

// TestNewHolderWaitsForEnginesWithoutFencing checks the wait for the old lease.
func TestNewHolderWaitsForEnginesWithoutFencing(t *testing.T) {
	is := is.New(t)
	reconciler := orders.New(orders.DefaultSettings())
	wanted := orders.Assignment{Model: "m", Version: "1"}
	input := orders.Input{Lease: orders.Lease{FencingToken: 5}, Servers: []orders.Server{
		{Name: "checks", Declared: wanted, ChecksFencing: true, Alive: true},
		{Name: "ignores", Declared: wanted, Alive: true},
	}}
	first := reconciler.Step(orders.DefaultOldLeaseWait-time.Second, input)
	is.Equal(len(first), 1)
	is.Equal(first[0].Server, "checks")
	later := reconciler.Step(orders.DefaultOldLeaseWait, input)
	is.Equal(len(later), 1)
	is.Equal(later[0].Server, "ignores")
}

// TestLoadsAreQueuedForTheWeightStore checks the bound on transfers.
func TestLoadsAreQueuedForTheWeightStore(t *testing.T) {
	is := is.New(t)
	settings := orders.DefaultSettings()
	reconciler := orders.New(settings)
	input := orders.Input{}
	for i := range 10 {
		input.Servers = append(input.Servers, orders.Server{
			Name:          fmt.Sprintf("engine-%d", i),
			Declared:      orders.Assignment{Model: "m", Version: "1"},
			ChecksFencing: true,
			Alive:         true,
		})
	}
	is.Equal(len(reconciler.Step(0, input)), settings.MaxTransfers)
	is.Equal(len(reconciler.Step(time.Second, input)), 0)
}
