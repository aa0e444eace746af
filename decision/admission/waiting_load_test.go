package admission_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// policy is a way to treat requests that find no server with room.
type policy int

const (
	// sendAtOnce sends each request to the server with the least load, where it waits. That is how requests were served.
	sendAtOnce policy = iota
	// inTurn lets requests of all ranks wait at the instance in the order of their arrival, and refuses those that would be late.
	inTurn
	// byRank does so by rank.
	byRank
)

// kind is a kind of request: the rulings of clubs, regular players and free tables.
type kind struct {
	perSecond, worth, late float64
	target                 time.Duration
}

// rulings are those of the heaviest day: callers of the highest and of the lowest rank come in bursts.
var rulings = []kind{{35, 38, 0.45, 4 * time.Second}, {39.4, 20, 0.6, 5 * time.Second}, {13.3, 10, 0.45, 10 * time.Second}}

const (
	deadline   = 25 * time.Second
	runTime    = 5500 * time.Millisecond
	lag        = 250 * time.Millisecond
	instances  = 8
	places     = 9
	loadStep   = 5 * time.Millisecond
	loadLength = 60 * time.Second
)

type loadRequest struct {
	id                 string
	kind, account, big int
	first, arrived     time.Duration
	retried            bool
}

// loadWorld is a service under load, with the requests of one run.
type loadWorld struct {
	policy  policy
	random  *rand.Rand
	servers int
	// own holds the requests that each instance has at each server; seen what the others know of it, filled a lag later.
	own, seen [instances][]int
	waiting   [instances][]int
	queues    [][]*loadRequest
	running   []int
	ends      map[time.Duration][][2]int
	lists     [instances]*admission.WaitingList
	requests  [instances]map[string]*loadRequest
	returns   map[time.Duration][]*loadRequest
	freeSince [instances][]time.Duration
	// asked, served, earned and owed are by rank; heldLate counts refusals after more than half of the target,
	// crowded the requests sent to a full server, idle the servers that were known to be free while someone had waited for over a second.
	asked, served, earned, owed [3]float64
	byAccount, bySize           [2][2]float64
	heldLate, crowded, idle     int
	firsts                      [3]float64
}

func newLoadWorld(p policy, servers int) *loadWorld {
	w := &loadWorld{policy: p, random: rand.New(rand.NewPCG(7, 7)), servers: servers, queues: make([][]*loadRequest, servers), running: make([]int, servers),
		ends: make(map[time.Duration][][2]int), returns: make(map[time.Duration][]*loadRequest)}
	for i := range instances {
		w.own[i], w.seen[i], w.freeSince[i] = make([]int, servers), make([]int, servers), make([]time.Duration, servers)
		w.lists[i], w.requests[i], w.waiting[i] = admission.NewWaitingList(64, len(rulings)), make(map[string]*loadRequest), make([]int, len(rulings))
	}
	return w
}

func (w *loadWorld) run() {
	due := make([]float64, len(rulings))
	for now := time.Duration(0); now < loadLength+deadline; now += loadStep {
		for i := range instances {
			if (now+time.Duration(i)*loadStep*7)%lag == 0 {
				copy(w.seen[i], w.own[i])
				w.waiting[i] = w.lists[i].Counts()
			}
		}
		for _, ended := range w.ends[now] {
			w.own[ended[1]][ended[0]]--
			w.running[ended[0]]--
			w.startQueued(now, ended[0])
		}
		delete(w.ends, now)
		for _, request := range w.returns[now] {
			w.arrive(now, request)
		}
		for k, ruling := range rulings {
			for due[k] += ruling.perSecond * loadStep.Seconds(); due[k] >= 1 && now < loadLength; due[k]-- {
				w.arrive(now, &loadRequest{id: strconv.Itoa(k) + now.String() + strconv.FormatFloat(due[k], 'f', 2, 64), kind: k, account: min(1, w.random.IntN(10)), big: w.random.IntN(2), first: now})
			}
		}
		for i := range instances {
			w.turn(now, i)
		}
	}
}

// load returns what an instance knows of a server.
func (w *loadWorld) load(i, server int) int {
	sum := w.own[i][server]
	for other := range instances {
		if other != i {
			sum += w.seen[other][server]
		}
	}
	return sum
}

// choose returns the server with the least load as an instance knows it.
func (w *loadWorld) choose(i int, eligible func(server int) bool) int {
	best := -1
	for _, server := range w.random.Perm(w.servers) {
		if eligible(server) && (best < 0 || w.load(i, server) < w.load(i, best)) {
			best = server
		}
	}
	return best
}

func (w *loadWorld) arrive(now time.Duration, request *loadRequest) {
	i := w.random.IntN(instances)
	request.arrived = now
	if !request.retried {
		w.asked[request.kind]++
		w.owed[request.kind] += rulings[request.kind].worth
		w.byAccount[request.account][1]++
		w.bySize[request.big][1]++
	}
	if w.policy == sendAtOnce {
		w.send(now, i, w.choose(i, func(int) bool { return true }), request)
		return
	}
	rank := request.kind
	if w.policy == inTurn {
		rank = 0
	}
	server := w.choose(i, func(server int) bool { return w.fits(now, i, server, request) })
	waiter := admission.Waiter{ID: request.id, Account: strconv.Itoa(request.account), Rank: rank, Cost: 1 + request.big,
		Target: rulings[request.kind].target, Remaining: request.first + deadline - now, Needed: runTime}
	w.requests[i][request.id] = request
	w.decide(now, i, server, w.lists[i].Arrive(now, waiter, server >= 0, runTime*instances/time.Duration(places*w.servers)))
}

// decide acts on decisions; server is the one for a request that starts.
func (w *loadWorld) decide(now time.Duration, i, server int, decisions []admission.Decision) {
	for _, decision := range decisions {
		request := w.requests[i][decision.ID]
		switch decision.Verdict {
		case admission.Start:
			delete(w.requests[i], decision.ID)
			w.send(now, i, server, request)
		case admission.Refuse:
			delete(w.requests[i], decision.ID)
			if now-request.arrived > rulings[request.kind].target/2+loadStep {
				w.heldLate++
			}
			if back := now + min(decision.Expected, (request.first+deadline-now)/3).Truncate(loadStep) + loadStep; !request.retried {
				request.retried = true
				w.returns[back] = append(w.returns[back], request)
			}
		case admission.Wait:
		}
	}
}

// turn lets an instance start requests that wait there.
func (w *loadWorld) turn(now time.Duration, i int) {
	w.decide(now, i, -1, w.lists[i].Expire(now))
	for server := range w.servers {
		if w.load(i, server) >= places {
			w.freeSince[i][server] = now
		}
	}
	for started := true; started; {
		started = false
		for _, id := range w.lists[i].Next(now) {
			request := w.requests[i][id]
			server := w.choose(i, func(server int) bool { return w.fits(now, i, server, request) })
			if server >= 0 {
				w.lists[i].Started(now, id)
				w.decide(now, i, server, []admission.Decision{{ID: id}})
				started = true
				break
			}
		}
	}
	for _, request := range w.requests[i] {
		if now-request.arrived > time.Second && w.lists[i].Next(now)[0] == request.id {
			for server := range w.servers {
				if w.running[server] < places-2 && w.fits(now, i, server, request) && len(w.queues[server]) == 0 && now-w.freeSince[i][server] > time.Second {
					w.idle++
				}
			}
		}
	}
}

// fits reports whether an instance may start a request at a server. A big one takes the room of two.
func (w *loadWorld) fits(now time.Duration, i, server int, request *loadRequest) bool {
	return w.load(i, server)+1+request.big <= places && w.mayTake(now, i, server, request)
}

func (w *loadWorld) mayTake(now time.Duration, i, server int, request *loadRequest) bool {
	claim := func(instance int) admission.Claim {
		claim := admission.Claim{Rank: len(rulings), Weight: rendezvous.DigestOf(strconv.Itoa(server)).Weight(rendezvous.DigestOf(strconv.Itoa(instance)))}
		for rank, count := range w.waiting[instance] {
			if claim.Waiting += count; count > 0 {
				claim.Rank = min(claim.Rank, rank)
			}
		}
		return claim
	}
	own := claim(i)
	own.Rank = request.kind
	if w.policy == inTurn {
		own.Rank = 0
	}
	var others []admission.Claim
	for other := range instances {
		if other != i {
			others = append(others, claim(other))
		}
	}
	return admission.MayTake(places-w.load(i, server), own, others, now-w.freeSince[i][server], lag)
}

func (w *loadWorld) send(now time.Duration, i, server int, request *loadRequest) {
	w.own[i][server]++
	request.account += 2 * i // the instance, until it ends
	if w.running[server] >= places {
		w.crowded++
	}
	w.queues[server] = append(w.queues[server], request)
	w.startQueued(now, server)
}

func (w *loadWorld) startQueued(now time.Duration, server int) {
	if w.policy == byRank {
		slices.SortStableFunc(w.queues[server], func(a, b *loadRequest) int { return cmp.Compare(a.kind, b.kind) })
	}
	for w.running[server] < places && len(w.queues[server]) > 0 {
		request := w.queues[server][0]
		w.queues[server] = w.queues[server][1:]
		w.running[server]++
		duration := runTime + time.Duration(request.big)*time.Second
		instance, account := request.account/2, request.account%2
		if now+duration > request.first+deadline {
			duration = loadStep // The server drops what it can't end in time.
		} else {
			w.served[request.kind]++
			w.byAccount[account][0]++
			w.bySize[request.big][0]++
			w.firsts[request.kind] += (now - request.first).Seconds()
			worth := rulings[request.kind].worth
			if now-request.first > rulings[request.kind].target-time.Second {
				worth *= rulings[request.kind].late
			}
			w.earned[request.kind] += worth
		}
		w.ends[now+duration] = append(w.ends[now+duration], [2]int{server, instance})
	}
}

func (w *loadWorld) share(rank int) float64 { return w.served[rank] / w.asked[rank] }

func (w *loadWorld) credit() float64 {
	return (w.earned[0] + w.earned[1] + w.earned[2]) / (w.owed[0] + w.owed[1] + w.owed[2])
}

func (w *loadWorld) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%-10s credit %.3f; by rank", name, w.credit())
	for k := range rulings {
		t.Logf("  rank %d: served %.3f, credit %.3f, mean wait %.1f s", k, w.share(k), w.earned[k]/w.owed[k], w.firsts[k]/max(1, w.served[k]))
	}
	t.Logf("  small account %.3f, large %.3f; small %.3f, large %.3f; held late %d, crowded %d, idle %d", w.byAccount[0][0]/w.byAccount[0][1], w.byAccount[1][0]/w.byAccount[1][1],
		w.bySize[0][0]/w.bySize[0][1], w.bySize[1][0]/w.bySize[1][1], w.heldLate, w.crowded, w.idle)
}

// TestPoliciesUnderTheHeaviestLoad compares ways to treat requests when two thirds of the servers' room for the rulings of the
// heaviest day is there, and when nearly all of it is.
func TestPoliciesUnderTheHeaviestLoad(t *testing.T) {
	for _, servers := range []int{30, 56} {
		is := is.New(t)
		worlds := make(map[policy]*loadWorld)
		for p, name := range []string{"at once", "in turn", "by rank"} {
			worlds[policy(p)] = newLoadWorld(policy(p), servers)
			worlds[policy(p)].run()
			worlds[policy(p)].log(t, name)
		}
		w := worlds[byRank]
		is.True(w.credit() >= worlds[sendAtOnce].credit()) // callers are served better than by servers' queues
		is.True(w.credit() >= worlds[inTurn].credit())     // and better than in the order of arrival
		usual := (w.served[0] + w.served[1] + w.served[2]) / (w.asked[0] + w.asked[1] + w.asked[2])
		for k := range rulings {
			is.True(w.share(k) >= usual/4) // no rank starves
			if k > 0 {
				is.True(w.share(k-1) >= w.share(k)-0.05) // no rank is served more than a higher one
			}
		}
		for n := range 2 {
			is.True(w.byAccount[n][0]/w.byAccount[n][1] >= usual/4) // no account starves
			is.True(w.bySize[n][0]/w.bySize[n][1] >= usual/4)       // no size starves
		}
		is.True(w.crowded < worlds[sendAtOnce].crowded/2) // no herd goes to one free server
		is.Equal(w.heldLate, 0)                           // what is refused has not waited for long
		is.Equal(w.idle, 0)                               // no place is free while someone waits
	}
}
