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
	// removal is when membership removes a silent instance of a data centre
	// that is otherwise heard.
	removal = 6 * period
)

// letter is one report on its way.
type letter struct {
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
	gone             bool
}

// exchange runs many holders with lossy, delayed reports. It counts shares as
// a caller sees them: what running instances would admit together.
type exchange struct {
	now     time.Duration
	limit   int
	nodes   []*node
	letters []letter
	random  *rand.Rand
	loss    float64
	// cut[a][b] means that reports from data centre a don't reach b.
	cut map[[2]string]bool
	// fixed means that membership never removes an instance.
	fixed bool
	// above is how long the sum has been above the limit without a break.
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
		if !n.paused && !n.gone {
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
		if !n.paused && !n.gone && (x.now-n.phase)%period == 0 {
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
	var later []letter
	for _, l := range x.letters {
		to := x.nodes[l.to]
		switch {
		case l.arrives > x.now || to.paused:
			later = append(later, l)
		case to.gone:
		default:
			to.peers[l.from] = share.Peer{Report: l.report, ReceivedAt: x.now, HasReport: true}
		}
	}
	x.letters = later
}

func (x *exchange) stepNode(index int, n *node) {
	report := n.holder.Step(x.now, share.Input{Limit: x.limit, Demand: n.demand, Peers: x.counted(index, n)})
	for to, other := range x.nodes {
		if to == index || x.cut[[2]string{n.dataCentre, other.dataCentre}] || x.random.Float64() < x.loss {
			continue
		}
		x.letters = append(x.letters, letter{index, to, report, x.now + time.Duration(x.random.IntN(5))*step})
	}
}

// counted returns the members as an instance's membership sees them: a silent
// one is removed when others of its data centre are heard, or when it is in
// the own data centre.
func (x *exchange) counted(index int, n *node) []share.Peer {
	heard := map[string]bool{n.dataCentre: true}
	silent := func(i int) bool { return x.now-max(n.peers[i].ReceivedAt, n.started, x.nodes[i].started) > removal }
	for i, other := range x.nodes {
		heard[other.dataCentre] = heard[other.dataCentre] || (n.peers[i].HasReport && !silent(i))
	}
	var peers []share.Peer
	for i, other := range x.nodes {
		if i == index || (!x.fixed && silent(i) && heard[other.dataCentre]) {
			continue
		}
		peer := n.peers[i]
		peer.Instance, peer.DataCentre = other.name, other.dataCentre
		peers = append(peers, peer)
	}
	return peers
}
