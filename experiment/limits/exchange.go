package limits

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/experiment/virtualtime"
)

// Times of the exchange of reports.
const (
	period       = time.Second
	lookPeriod   = 100 * time.Millisecond
	demandPeriod = 30 * period
	restartEvery = 20 * period
	removeAfter  = 6 * period
	loss         = 0.05
	dataCentres  = 3
)

// node is one instance of the exchange.
type node struct {
	name       string
	dataCentre int
	holder     *share.Holder
	peers      map[*node]share.Peer
	started    time.Duration
	demand     int
	gone       bool
}

// scenario is one run of the exchange.
type scenario struct {
	name      string
	instances int
	limit     int
	// cut separates the first data centre for the middle third of the run.
	cut bool
	// restarts replaces an instance now and then.
	restarts bool
}

// exchange runs the holders of one limit.
type exchange struct {
	scenario  scenario
	random    *rand.Rand
	scheduler virtualtime.Scheduler
	nodes     []*node
	isCut     bool
	length    time.Duration

	above, longest time.Duration
	used, usable   float64
}

func newExchange(s scenario, seed uint64, length time.Duration) *exchange {
	x := &exchange{scenario: s, random: rand.New(rand.NewPCG(seed, uint64(s.instances))), length: length}
	for i := range s.instances {
		x.start(0, i%dataCentres)
	}
	return x
}

// run runs the scenario.
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

// start adds an instance that steps once a period.
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

// counted returns the members that count for an instance: a silent one is
// removed when others of its data centre are heard.
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

// changeDemand moves the demand: a few instances want most of the limit.
func (x *exchange) changeDemand(time.Duration) {
	for _, n := range x.nodes {
		n.demand = 0
		if x.random.IntN(4) == 0 {
			n.demand = 1 + x.random.IntN(x.scenario.limit)
		}
	}
}

// restart ends a running instance and starts another in its place.
func (x *exchange) restart(now time.Duration) {
	n := x.nodes[x.random.IntN(len(x.nodes))]
	if n.gone {
		return
	}
	n.gone = true
	x.start(now, n.dataCentre)
}

// look measures the sum of the shares in use.
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
