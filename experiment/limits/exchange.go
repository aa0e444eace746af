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
	reportInterval       = time.Second
	sampleInterval       = 100 * time.Millisecond
	demandChangeInterval = 30 * reportInterval
	restartInterval      = 20 * reportInterval
	removalTimeout       = 6 * reportInterval
	reportLoss           = 0.05 // fraction of reports lost
	dataCentres          = 3
)

// node is one instance that exchanges reports.
type node struct {
	name       string
	dataCentre int
	holder     *share.Holder
	peers      map[*node]share.Peer
	started    time.Duration
	demand     int
	ended      bool
}

// scenario describes one run of the exchange.
type scenario struct {
	name      string
	instances int
	limit     int
	// partitioned cuts the first data centre off for the middle third of the run.
	partitioned bool
	// restarts replaces a random instance every restartInterval.
	restarts bool
}

// exchange simulates the instances that share one limit.
type exchange struct {
	scenario    scenario
	random      *rand.Rand
	scheduler   virtualtime.Scheduler
	nodes       []*node
	partitioned bool
	length      time.Duration

	// timeAbove is how long the shares have exceeded the limit; maxTimeAbove is its maximum.
	timeAbove, maxTimeAbove time.Duration
	// served sums up the demand served in each sample, servable that within the limit.
	served, servable float64
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
	x.scheduler.Every(demandChangeInterval, x.length, x.changeDemand)
	x.scheduler.Every(sampleInterval, x.length, x.sample)
	if x.scenario.partitioned {
		x.scheduler.At(x.length/3, func(time.Duration) { x.partitioned = true })
		x.scheduler.At(2*x.length/3, func(time.Duration) { x.partitioned = false })
	}
	if x.scenario.restarts {
		x.scheduler.Every(restartInterval, x.length, x.restart)
	}
	x.scheduler.Run(x.length)
}

// start adds an instance to a data centre; it takes a step once per period.
func (x *exchange) start(now time.Duration, dataCentre int) {
	index := len(x.nodes)
	name := fmt.Sprint("instance-", index)
	n := &node{name: name, dataCentre: dataCentre, peers: make(map[*node]share.Peer), started: now}
	random := rand.New(rand.NewPCG(x.random.Uint64(), uint64(index)))
	n.holder = share.NewHolder(share.DefaultConfig(reportInterval), "account", name, dataCentreName(dataCentre), random)
	x.nodes = append(x.nodes, n)
	first := now + time.Duration(x.random.Int64N(int64(reportInterval)))
	x.scheduler.At(first, func(now time.Duration) { x.step(now, n) })
}

func dataCentreName(dataCentre int) string { return fmt.Sprint("data-centre-", dataCentre) }

func (x *exchange) step(now time.Duration, n *node) {
	if n.ended {
		return
	}
	report := n.holder.Step(now, share.Input{Limit: x.scenario.limit, Demand: n.demand, Peers: x.countedPeers(now, n)})
	for _, other := range x.nodes {
		if other == n || other.ended || x.random.Float64() < reportLoss || x.separated(n, other) {
			continue
		}
		arrives := now + time.Duration(x.random.Int64N(int64(reportInterval)))
		x.scheduler.At(arrives, func(now time.Duration) {
			other.peers[n] = share.Peer{Report: report, ReceivedAt: now, HasReport: true}
		})
	}
	x.scheduler.At(now+reportInterval, func(now time.Duration) { x.step(now, n) })
}

func (x *exchange) separated(a, b *node) bool {
	return x.partitioned && (a.dataCentre == 0) != (b.dataCentre == 0)
}

// countedPeers returns the peers that count for an instance. A silent one is left out if
// it is in the instance's own data centre or reports arrive from others of its data
// centre. A remote data centre that is silent as a whole counts with all its members.
func (x *exchange) countedPeers(now time.Duration, n *node) []share.Peer {
	silent := func(other *node) bool {
		return now-max(n.peers[other].ReceivedAt, n.started, other.started) > removalTimeout
	}
	reachable := map[int]bool{n.dataCentre: true}
	for _, other := range x.nodes {
		reachable[other.dataCentre] = reachable[other.dataCentre] || (n.peers[other].HasReport && !silent(other))
	}
	peers := make([]share.Peer, 0, len(x.nodes))
	for _, other := range x.nodes {
		if other == n || (reachable[other.dataCentre] && silent(other)) {
			continue
		}
		peer := n.peers[other]
		peer.Instance, peer.DataCentre = other.name, dataCentreName(other.dataCentre)
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
	if n.ended {
		return
	}
	n.ended = true
	x.start(now, n.dataCentre)
}

// sample measures the sum of the shares in use and the demand that they serve.
func (x *exchange) sample(time.Duration) {
	sum, served, demand := 0, 0, 0
	for _, n := range x.nodes {
		if n.ended {
			continue
		}
		sum += n.holder.Share()
		served += min(n.holder.Share(), n.demand)
		demand += n.demand
	}
	x.served += float64(served)
	x.servable += float64(min(demand, x.scenario.limit))
	if sum <= x.scenario.limit {
		x.timeAbove = 0
		return
	}
	x.timeAbove += sampleInterval
	x.maxTimeAbove = max(x.maxTimeAbove, x.timeAbove)
}
