package limits

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/experiment/virtualtime"
)

// Times and sizes of the exchange of reports.
const (
	period       = time.Second
	lookPeriod   = 100 * time.Millisecond
	demandPeriod = 30 * period
	restartEvery = 20 * period
	removeAfter  = 6 * period
	loss         = 0.05 // fraction of reports lost
	dataCentres  = 3
)

// node is one instance that exchanges reports.
type node struct {
	name       string
	dataCentre int
	holder     *share.Holder
	peers      map[*node]share.Peer
	started    time.Duration
	demand     int
	// gone is true once the instance ended.
	gone bool
}

// scenario describes one run of the exchange.
type scenario struct {
	name      string
	instances int
	limit     int
	// cut cuts the first data centre off for the middle third of the run.
	cut bool
	// restarts replaces a random instance every restartEvery.
	restarts bool
}

// exchange simulates the instances that share one limit.
type exchange struct {
	scenario  scenario
	random    *rand.Rand
	scheduler virtualtime.Scheduler
	nodes     []*node
	isCut     bool
	length    time.Duration

	// above is how long the shares have exceeded the limit, longest its maximum.
	above, longest time.Duration
	// used is the sum of the demand served in all samples, usable of what the limit allows.
	used, usable float64
}

func newExchange(s scenario, seed uint64, length time.Duration) *exchange {
	x := &exchange{scenario: s, random: rand.New(rand.NewPCG(seed, uint64(s.instances))), length: length}
	for i := range s.instances {
		x.start(0, i%dataCentres)
	}
	return x
}

// run simulates the scenario and collects the measurements.
func (x *exchange) run() {
	x.scheduler.Every(demandPeriod, x.length, x.changeDemand)
	x.scheduler.Every(lookPeriod, x.length, x.look)
	if x.scenario.cut {
		x.scheduler.At(x.length/3, func(time.Duration) { x.isCut = true })
		x.scheduler.At(2*x.length/3, func(time.Duration) { x.isCut = false })
	}
	if x.scenario.restarts {
		x.scheduler.Every(restartEvery, x.length, x.restart)
	}
	x.scheduler.Run(x.length)
}

// start adds an instance to a data centre; it takes a step once per period.
func (x *exchange) start(now time.Duration, place int) {
	index := len(x.nodes)
	name := fmt.Sprint("instance-", index)
	n := &node{name: name, dataCentre: place, peers: make(map[*node]share.Peer), started: now}
	random := rand.New(rand.NewPCG(x.random.Uint64(), uint64(index)))
	n.holder = share.NewHolder(share.DefaultConfig(period), "account", name, placeName(place), random)
	x.nodes = append(x.nodes, n)
	first := now + time.Duration(x.random.Int64N(int64(period)))
	x.scheduler.At(first, func(now time.Duration) { x.step(now, n) })
}

func placeName(place int) string { return fmt.Sprint("data-centre-", place) }

func (x *exchange) step(now time.Duration, n *node) {
	if n.gone {
		return
	}
	report := n.holder.Step(now, share.Input{Limit: x.scenario.limit, Demand: n.demand, Peers: x.counted(now, n)})
	for _, other := range x.nodes {
		if other == n || other.gone || x.random.Float64() < loss || x.separated(n, other) {
			continue
		}
		arrives := now + time.Duration(x.random.Int64N(int64(period)))
		x.scheduler.At(arrives, func(now time.Duration) {
			other.peers[n] = share.Peer{Report: report, ReceivedAt: now, HasReport: true}
		})
	}
	x.scheduler.At(now+period, func(now time.Duration) { x.step(now, n) })
}

func (x *exchange) separated(a, b *node) bool {
	return x.isCut && (a.dataCentre == 0) != (b.dataCentre == 0)
}

// counted returns the peers that count for an instance. A silent one is left out if
// it is in the instance's own data centre or reports arrive from others of its data
// centre. A remote data centre that is silent as a whole counts with all its members.
func (x *exchange) counted(now time.Duration, n *node) []share.Peer {
	silent := func(other *node) bool {
		return now-max(n.peers[other].ReceivedAt, n.started, other.started) > removeAfter
	}
	heard := map[int]bool{n.dataCentre: true}
	for _, other := range x.nodes {
		heard[other.dataCentre] = heard[other.dataCentre] || (n.peers[other].HasReport && !silent(other))
	}
	peers := make([]share.Peer, 0, len(x.nodes))
	for _, other := range x.nodes {
		if other == n || (heard[other.dataCentre] && silent(other)) {
			continue
		}
		peer := n.peers[other]
		peer.Instance, peer.DataCentre = other.name, placeName(other.dataCentre)
		peers = append(peers, peer)
	}
	return peers
}

// changeDemand gives about a quarter of the instances a new random demand of up to
// the whole limit, and the others none.
func (x *exchange) changeDemand(time.Duration) {
	for _, n := range x.nodes {
		n.demand = 0
		if x.random.IntN(4) == 0 {
			n.demand = 1 + x.random.IntN(x.scenario.limit)
		}
	}
}

// restart ends a random instance and starts another in the same data centre.
func (x *exchange) restart(now time.Duration) {
	n := x.nodes[x.random.IntN(len(x.nodes))]
	if n.gone {
		return
	}
	n.gone = true
	x.start(now, n.dataCentre)
}

// look samples the sum of the shares in use and the demand that they serve.
func (x *exchange) look(time.Duration) {
	sum, served, wanted := 0, 0, 0
	for _, n := range x.nodes {
		if n.gone {
			continue
		}
		sum += n.holder.Share()
		served += min(n.holder.Share(), n.demand)
		wanted += n.demand
	}
	x.used += float64(served)
	x.usable += float64(min(wanted, x.scenario.limit))
	if sum <= x.scenario.limit {
		x.above = 0
		return
	}
	x.above += lookPeriod
	x.longest = max(x.longest, x.above)
}
