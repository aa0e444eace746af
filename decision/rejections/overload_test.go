package rejections_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
)

const (
	service = "s"
	// statedFor is how long servers state a limit before they let fewer wait and fall over.
	statedFor = 4 * time.Second
	// downTime is how long a server that fell over is down.
	downTime = 3 * time.Second
	// digestRate is the number of digests that an instance sends in a second.
	digestRate = 48
	// newsDelay is the time until others know of a rejection, maxTold the number of instances that are told at once.
	newsDelay = 20 * time.Millisecond
	maxTold   = 16
)

var begin = time.Unix(1_700_000_000, 0)

// overloadCase describes servers, instances and the requests.
type overloadCase struct {
	instances, servers, slots, limit int
	// waiting is the number of requests that a server lets wait, waitingLater that after statedFor.
	waiting, waitingLater int
	// lostSlots is the number of slots of each server that others than the instances take.
	lostSlots int
	duration  time.Duration
	// pressure is the number of requests as a multiple of what the servers can run.
	pressure float64
	bounded  bool
	seed     uint64
}

type simServer struct {
	id         string
	ends       []time.Time // of the requests that run or wait
	owners     []int
	rejectedAt []time.Time
	downUntil  time.Time
}

// simInstance is an instance with what it knows of its peers.
type simInstance struct {
	table *rejections.Table
	own   []int
	// reported holds the loads by peer, all their sums by server.
	reported [][]int
	sums     []int
	avoided  []time.Time
}

// overload is one simulated time of overload.
type overload struct {
	overloadCase
	random                  *rand.Rand
	servers                 []*simServer
	instances               []*simInstance
	falls, served, rejected int
	// news holds what instances tell the others at a server at once: the rejecting server and the instance by time.
	news map[time.Time][][2]int
}

func newOverload(c overloadCase) *overload {
	o := &overload{overloadCase: c, news: make(map[time.Time][][2]int), random: rand.New(rand.NewPCG(c.seed, 1))}
	for n := range c.servers {
		o.servers = append(o.servers, &simServer{id: strconv.Itoa(n)})
	}
	for range c.instances {
		i := &simInstance{table: rejections.NewTable(), own: make([]int, c.servers), sums: make([]int, c.servers), avoided: make([]time.Time, c.servers)}
		for range c.instances {
			i.reported = append(i.reported, make([]int, c.servers))
		}
		o.instances = append(o.instances, i)
	}
	return o
}

// run simulates a time in steps of a millisecond.
func (o *overload) run(duration time.Duration) {
	perStep := o.pressure * float64(o.overloadCase.servers*o.slots) / float64(o.duration.Milliseconds())
	spacing := max(200*time.Millisecond, (time.Duration(o.overloadCase.instances) * time.Second / digestRate).Truncate(time.Millisecond))
	due := 0.0
	for step := range int(duration.Milliseconds()) {
		now := begin.Add(time.Duration(step) * time.Millisecond)
		o.endRequests(now)
		for _, news := range o.news[now] {
			o.tellFirst(now, news[0], news[1])
		}
		for i := range o.instances {
			if (time.Duration(step)*time.Millisecond+time.Duration(i)*37*time.Millisecond)%spacing == 0 {
				o.sendDigest(now, i)
			}
		}
		for due += perStep; due >= 1; due-- {
			// Some instances get three times as many requests as others.
			i := o.random.IntN(o.overloadCase.instances)
			if i%3 != 0 && o.random.IntN(2) == 0 {
				i -= i % 3
			}
			o.request(now, i)
		}
	}
}

func (o *overload) endRequests(now time.Time) {
	for n, server := range o.servers {
		for k := 0; k < len(server.ends); k++ {
			if !server.ends[k].After(now) {
				o.instances[server.owners[k]].own[n]--
				server.ends, server.owners = slices.Delete(server.ends, k, k+1), slices.Delete(server.owners, k, k+1)
				o.served++
				k--
			}
		}
	}
}

// sendDigest tells all peers of an instance its loads and rejections.
func (o *overload) sendDigest(now time.Time, from int) {
	sender := o.instances[from]
	reports, limits := sender.table.OwnRejections(now), sender.table.OwnStatements(now)
	for to, peer := range o.instances {
		if to == from {
			continue
		}
		for n := range o.servers {
			peer.sums[n] += sender.own[n] - peer.reported[from][n]
			peer.reported[from][n] = sender.own[n]
		}
		for _, limit := range limits {
			peer.table.PeerStated(now, limit.Service, limit.Limit)
		}
		for _, report := range reports {
			peer.table.SetPeerRejections(strconv.Itoa(from), report.Server, report.Times)
		}
	}
}

// tellFirst tells the instances with the lowest ranks at a server about the rejections that another one saw.
func (o *overload) tellFirst(now time.Time, n, from int) {
	for _, report := range o.instances[from].table.OwnRejections(now) {
		for to, peer := range o.instances {
			if to != from && o.shareAt(to, n).Rank < maxTold {
				peer.table.SetPeerRejections(strconv.Itoa(from), report.Server, report.Times)
			}
		}
	}
}

// shareAt returns the share of an instance at a server.
func (o *overload) shareAt(i, n int) rejections.Share {
	return rejections.Share{Rank: (i + 7*n) % o.overloadCase.instances, Instances: o.overloadCase.instances}
}

// choose returns the server with the least known load that has room for a request of an instance.
func (o *overload) choose(now time.Time, i int) int {
	best, bestLoad, instance := -1, 0, o.instances[i]
	for k := range o.servers {
		n := (k + i) % len(o.servers)
		load := rejections.Load{Own: instance.own[n], All: instance.own[n] + instance.sums[n]}
		if now.Before(instance.avoided[n]) {
			continue
		}
		if o.bounded && !instance.table.HasRoom(now, o.servers[n].id, service, o.slots, o.shareAt(i, n), load) {
			continue
		}
		if best < 0 || load.All < bestLoad {
			best, bestLoad = n, load.All
		}
	}
	return best
}

// request sends one request of an instance, and once more after a rejection.
func (o *overload) request(now time.Time, i int) {
	for range 2 {
		n := o.choose(now, i)
		if n < 0 || o.send(now, i, n) {
			return
		}
	}
}

// send sends a request to a server and reports whether it runs or waits there.
func (o *overload) send(now time.Time, i, n int) bool {
	server, instance := o.servers[n], o.instances[i]
	if now.Before(server.downUntil) {
		instance.avoided[n] = now.Add(time.Second)
		return false
	}
	instance.table.Answered(now, server.id, service, o.limit)
	waiting := o.waiting
	if now.Sub(begin) >= statedFor {
		waiting = o.waitingLater
	}
	slots := o.slots - o.lostSlots
	if len(server.ends) >= slots+waiting {
		o.reject(now, server)
		instance.table.Rejected(now, server.id, service)
		at := now.Add(newsDelay)
		o.news[at] = append(o.news[at], [2]int{n, i})
		return false
	}
	start := now
	if len(server.ends) >= slots {
		sorted := slices.SortedFunc(slices.Values(server.ends), time.Time.Compare)
		start = sorted[len(sorted)-slots]
	}
	server.ends = append(server.ends, start.Add(time.Duration((0.5+o.random.Float64())*float64(o.duration))))
	server.owners = append(server.owners, i)
	instance.own[n]++
	return true
}

func (o *overload) reject(now time.Time, server *simServer) {
	o.rejected++
	server.rejectedAt = slices.DeleteFunc(append(server.rejectedAt, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(server.rejectedAt) <= o.limit || now.Sub(begin) < statedFor {
		return
	}
	o.falls++
	server.downUntil = now.Add(downTime)
	n := slices.Index(o.servers, server)
	for _, owner := range server.owners {
		o.instances[owner].own[n]--
	}
	server.ends, server.owners, server.rejectedAt = nil, nil, nil
}

// TestServersWithALimitRarelyFall guards against instances that make servers reject more than they can: with three times as
// many requests as the servers can run, at most 2 + a tenth of them fall.
func TestServersWithALimitRarelyFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := overloadCase{
			instances: rapid.IntRange(1, 100).Draw(t, "instances"), servers: rapid.IntRange(1, 10).Draw(t, "servers"),
			slots: rapid.IntRange(2, 8).Draw(t, "slots"), limit: rapid.IntRange(1, 10).Draw(t, "limit"),
			waiting: rapid.IntRange(1, 4).Draw(t, "waiting"), duration: time.Duration(rapid.IntRange(50, 400).Draw(t, "duration")) * time.Millisecond,
			pressure: 3, bounded: true, seed: rapid.Uint64().Draw(t, "seed"),
		}
		c.waitingLater = rapid.IntRange(0, c.waiting).Draw(t, "waiting later")
		c.lostSlots = rapid.IntRange(0, c.slots/4).Draw(t, "lost slots")
		o := newOverload(c)
		o.run(simulated)
		if bound := 2 + c.servers/10; o.falls > bound {
			t.Fatalf("%d falls of %d servers", o.falls, c.servers)
		}
	})
}

// simulated is the time of a simulation.
const simulated = 10 * time.Second

// used returns the part of the servers' slots that was used.
func (o *overload) used() float64 {
	return float64(o.served) * o.duration.Seconds() / (simulated.Seconds() * float64(o.overloadCase.servers*o.slots))
}

// TestBoundKeepsServersUp compares what happens with and without the bound.
func TestBoundKeepsServersUp(t *testing.T) {
	for _, instances := range []int{2, 30, 100} {
		c := overloadCase{instances: instances, servers: 10, slots: 6, limit: 3, waiting: 3, waitingLater: 1, duration: 100 * time.Millisecond, pressure: 3, seed: 1}
		before := newOverload(c)
		before.run(simulated)
		c.bounded = true
		after := newOverload(c)
		after.run(simulated)
		t.Logf("%d instances: %d falls without the bound, %d with it; %.2f and %.2f of the servers used", instances, before.falls, after.falls, before.used(), after.used())
		if before.falls <= 3 || after.falls > 3 || after.used() < before.used() {
			t.Fatal("the bound doesn't help")
		}
	}
}
