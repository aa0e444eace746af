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
	propertyCases = 500
	stepsPerCase  = 120
)

func TestMain(m *testing.M) {
	fixedseed.ApplyWithChecks(propertyCases)
	os.Exit(m.Run())
}

// engine simulates a model engine.
type engine struct {
	orders.Server
	fencing      uint64
	loadingUntil time.Duration
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
	e.loadingUntil = now + time.Second
}

// holder is one lease holder: its reconciler and the servers it saw fail.
type holder struct {
	reconciler *orders.Reconciler
	lease      orders.Lease
	seenFailed map[string]bool
}

// sentOrder is an order in flight.
type sentOrder struct {
	order  orders.Order
	sentAt time.Duration
}

type simulation struct {
	now      time.Duration
	settings orders.Settings
	engines  []*engine
	holder   *holder
	fencing  uint64
	inFlight []sentOrder
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{settings: orders.DefaultSettings()}
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
		s.engines = append(s.engines, &engine{Server: server})
	}
	s.newHolder()
	return s
}

func (s *simulation) newHolder() {
	s.fencing += 10
	s.holder = &holder{
		reconciler: orders.New(s.settings),
		lease:      orders.Lease{FencingToken: s.fencing, HeldSince: s.now},
		seenFailed: make(map[string]bool),
	}
}

func (s *simulation) input() orders.Input {
	input := orders.Input{Lease: s.holder.lease}
	for _, e := range s.engines {
		if !e.Alive {
			s.holder.seenFailed[e.Name] = true
		}
		if e.Loading && s.now >= e.loadingUntil {
			e.Loading = false
		}
		server := e.Server
		server.FailedBefore = s.holder.seenFailed[e.Name]
		input.Servers = append(input.Servers, server)
	}
	return input
}

// reconcile runs one step of the holder and sends its orders.
func (s *simulation) reconcile() {
	for _, order := range s.holder.reconciler.Step(s.now, s.input()) {
		s.inFlight = append(s.inFlight, sentOrder{order, s.now})
	}
}

// deliver delivers the order in flight at the index.
func (s *simulation) deliver(index int) {
	sent := s.inFlight[index]
	s.inFlight = append(s.inFlight[:index], s.inFlight[index+1:]...)
	for _, e := range s.engines {
		if e.Name == sent.order.Server {
			e.apply(s.now, sent.order)
		}
	}
}

func (s *simulation) randomAction(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		s.now += time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond
	case 3, 4:
		s.reconcile()
	case 5, 6:
		if len(s.inFlight) > 0 {
			s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "order"))
		}
	case 7:
		e := rapid.SampledFrom(s.engines).Draw(t, "engine")
		e.Alive, e.AliveChangedAt = !e.Alive, s.now
		e.Loading = false
		if e.Alive && rapid.Bool().Draw(t, "restarted") {
			e.Observed, e.fencing = orders.Assignment{}, 0
		}
	case 8:
		if len(s.inFlight) > 0 {
			s.inFlight = s.inFlight[1:]
		}
	default:
		s.newHolder()
	}
}

// runWithoutFaults delivers every late order and runs the holder for two minutes without faults.
func (s *simulation) runWithoutFaults() {
	for len(s.inFlight) > 0 {
		s.deliver(0)
	}
	for range 120 {
		s.now += time.Second
		s.reconcile()
		for len(s.inFlight) > 0 {
			s.deliver(0)
		}
	}
}

// checkConverged compares the state after runWithoutFaults with the expected one:
// live declared engines serve what is declared, as many failed engines as possible
// are replaced by a live spare, and the other spares serve nothing.
func (s *simulation) checkConverged(t *rapid.T) {
	missing := make(map[orders.Assignment]int)
	spares := 0
	for _, e := range s.engines {
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
	failed, replaced, idle := 0, 0, 0
	for _, count := range missing {
		failed += count
	}
	for _, e := range s.engines {
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
			t.Fatalf("spare %s serves %v, which no failed engine needs", e.Name, e.Observed)
		}
	}
	if replaced != min(failed, spares) || idle != spares-replaced {
		t.Fatalf("%d failed, %d spares, %d replaced", failed, spares, replaced)
	}
}

func TestEstateConvergesAfterOldOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range stepsPerCase {
			s.randomAction(t)
		}
		s.runWithoutFaults()
		s.checkConverged(t)
	})
}

// TestNewHolderWaitsForEnginesWithoutFencing checks that a new holder gives no order
// to an engine that does not check fencing tokens before the old lease has ended.
func TestNewHolderWaitsForEnginesWithoutFencing(t *testing.T) {
	is := is.New(t)
	reconciler := orders.New(orders.DefaultSettings())
	declared := orders.Assignment{Model: "m", Version: "1"}
	input := orders.Input{Lease: orders.Lease{FencingToken: 5}, Servers: []orders.Server{
		{Name: "checks", Declared: declared, ChecksFencing: true, Alive: true},
		{Name: "ignores", Declared: declared, Alive: true},
	}}
	first := reconciler.Step(orders.DefaultOldLeaseWait-time.Second, input)
	is.Equal(len(first), 1)
	is.Equal(first[0].Server, "checks")
	later := reconciler.Step(orders.DefaultOldLeaseWait, input)
	is.Equal(len(later), 1)
	is.Equal(later[0].Server, "ignores")
}

// TestLoadsAreQueuedForTheWeightStore checks that no more than MaxTransfers loads
// are ordered at the same time.
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
