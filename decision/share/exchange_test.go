package share_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// Times of the exchange, in steps of a quarter of a period.
const (
	step   = 250 * time.Millisecond
	period = 4 * step
	// removal is the time after which membership removes a silent instance of a
	// data centre that has other instances that aren't silent.
	removal = 6 * period
)

// message is one report in transit.
type message struct {
	from, to int
	report   share.Report
	arrives  time.Duration
}

// node is one instance of the exchange.
type node struct {
	name, dataCentre string
	holder           *share.Holder
	peers            map[int]share.Peer
	phase            time.Duration
	demand           int
	started          time.Duration
	paused           bool
	stopped          bool
}

// exchange runs many holders with lost and delayed reports. It sums the shares of
// running instances: what they would admit together.
type exchange struct {
	now      time.Duration
	limit    int
	nodes    []*node
	messages []message
	random   *rand.Rand
	loss     float64
	// cut[a][b] means that reports from data centre a don't reach b.
	cut map[[2]string]bool
	// fixed means that membership never removes an instance.
	fixed bool
	// above is how long the sum has been above the limit without interruption.
	above    time.Duration
	maxAbove time.Duration
}

func newExchange(limit int, seed uint64, dataCentres ...string) *exchange {
	x := &exchange{limit: limit, random: rand.New(rand.NewPCG(seed, 7)), cut: make(map[[2]string]bool)}
	for _, dataCentre := range dataCentres {
		x.add(dataCentre)
	}
	return x
}

func (x *exchange) add(dataCentre string) {
	index := len(x.nodes)
	name := fmt.Sprint("instance-", index)
	x.nodes = append(x.nodes, &node{
		name: name, dataCentre: dataCentre, peers: make(map[int]share.Peer), started: x.now,
		holder: share.NewHolder(share.DefaultConfig(period), "account", name, dataCentre, rand.New(rand.NewPCG(uint64(index), 3))),
		phase:  time.Duration(x.random.IntN(4)) * step,
	})
}

// sum returns the shares of all running instances.
func (x *exchange) sum() int {
	sum := 0
	for _, n := range x.nodes {
		if !n.paused && !n.stopped {
			sum += n.holder.Share()
		}
	}
	return sum
}

// advance runs the exchange for a quarter of a period.
func (x *exchange) advance() {
	x.now += step
	x.deliver()
	for i, n := range x.nodes {
		if !n.paused && !n.stopped && (x.now-n.phase)%period == 0 {
			x.stepNode(i, n)
		}
	}
	if x.sum() > x.limit {
		x.above += step
	} else {
		x.above = 0
	}
	x.maxAbove = max(x.maxAbove, x.above)
}

func (x *exchange) run(duration time.Duration) {
	for end := x.now + duration; x.now < end; {
		x.advance()
	}
}

func (x *exchange) deliver() {
	var later []message
	for _, m := range x.messages {
		to := x.nodes[m.to]
		switch {
		case m.arrives > x.now || to.paused:
			later = append(later, m)
		case to.stopped:
		default:
			to.peers[m.from] = share.Peer{Report: m.report, ReceivedAt: x.now, HasReport: true}
		}
	}
	x.messages = later
}

func (x *exchange) stepNode(index int, n *node) {
	report := n.holder.Step(x.now, share.Input{Limit: x.limit, Demand: n.demand, Peers: x.counted(index, n)})
	for to, other := range x.nodes {
		if to == index || x.cut[[2]string{n.dataCentre, other.dataCentre}] || x.random.Float64() < x.loss {
			continue
		}
		x.messages = append(x.messages, message{index, to, report, x.now + time.Duration(x.random.IntN(5))*step})
	}
}

// counted returns the members in an instance's membership: a silent one is
// removed if others of its data centre aren't silent, or if it is in the
// instance's own data centre.
func (x *exchange) counted(index int, n *node) []share.Peer {
	reporting := map[string]bool{n.dataCentre: true}
	silent := func(i int) bool { return x.now-max(n.peers[i].ReceivedAt, n.started, x.nodes[i].started) > removal }
	for i, other := range x.nodes {
		reporting[other.dataCentre] = reporting[other.dataCentre] || (n.peers[i].HasReport && !silent(i))
	}
	var peers []share.Peer
	for i, other := range x.nodes {
		if i == index || (!x.fixed && silent(i) && reporting[other.dataCentre]) {
			continue
		}
		peer := n.peers[i]
		peer.Instance, peer.DataCentre = other.name, other.dataCentre
		peers = append(peers, peer)
	}
	return peers
}
