package killingrequest

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// world is the instances, servers and callers of one schedule.
type world struct {
	virtual.Queue
	choices   virtual.Choices
	settings  Settings
	instances []*instance
	servers   []*server
	nextID    int
	result    Result
}

// instance is one entry instance.
type instance struct {
	id   int
	book *quarantine.Tracker
	// isolated counts the suspects that this instance runs on each server.
	isolated map[*server]int
}

// server is one backend server.
type server struct {
	name string
	up   bool
	// boot grows with each restart.
	boot    int
	running map[int]*job
}

// request is one caller's request; its resends have the same fingerprint.
type request struct {
	fingerprint serving.Fingerprint
	// killer requests end their server after killAfter.
	killer    bool
	killAfter time.Duration
	duration  time.Duration
	resends   int
	answered  bool
}

// job is a submission of a request at one instance, and its attempt at a
// server.
type job struct {
	id       int
	request  *request
	at       *instance
	server   *server
	isolated bool
	// heldSince is when the book last began to hold the submission.
	heldSince time.Time
	over      bool
}

// Result is what one schedule led to.
type Result struct {
	// LostPerKiller is the number of servers each killing request ended.
	CrashesPerPoisonRequest map[serving.Fingerprint]int
	// InnocentsRefused counts innocent requests answered as quarantined.
	HarmlessRefused int
	// InnocentsHeld counts innocent submissions that were held too long.
	HarmlessDeferred int
	// KillersRefused counts killing submissions answered as quarantined.
	PoisonRefused int
	// Answered counts innocent requests that were answered.
	Answered int
	// Unanswered counts innocent requests that never got an answer.
	Unanswered int
}

// MostLost returns the highest number of servers lost to one request.
func (r Result) MaxCrashes() int {
	most := 0
	for _, lost := range r.CrashesPerPoisonRequest {
		most = max(most, lost)
	}
	return most
}

// RunSchedule runs one schedule.
func RunSchedule(choices virtual.Choices, settings Settings) Result {
	w := &world{choices: choices, settings: settings}
	w.result.CrashesPerPoisonRequest = make(map[serving.Fingerprint]int)
	w.Now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for id := range settings.Instances {
		name := "instance-" + strconv.Itoa(id)
		i := &instance{id: id, book: quarantine.NewTracker(name, quarantine.DefaultSettings()), isolated: make(map[*server]int)}
		w.instances = append(w.instances, i)
		w.After(virtual.Between(choices, 0, settings.DigestInterval), func() { w.spread(i) })
	}
	for id := range settings.Servers {
		w.servers = append(w.servers, &server{name: "server-" + strconv.Itoa(id), up: true, running: make(map[int]*job)})
	}
	innocents := w.plan()
	w.RunUntil(w.Now.Add(settings.Length + drainLength))
	for _, innocent := range innocents {
		if !innocent.answered {
			w.result.Unanswered++
		}
	}
	return w.result
}

// plan spreads requests and rack losses over the schedule.
func (w *world) plan() []*request {
	var innocents []*request
	count := int(w.settings.Length / w.settings.ArrivalInterval)
	for n := range count {
		innocent := &request{
			fingerprint: serving.Fingerprint(n + 1),
			duration:    virtual.Between(w.choices, 100*time.Millisecond, 8*time.Second),
		}
		innocents = append(innocents, innocent)
		w.After(virtual.Between(w.choices, 0, w.settings.Length), func() { w.submitAnywhere(innocent) })
	}
	for n := range w.settings.PoisonRequests {
		killer := &request{
			fingerprint: serving.Fingerprint(1_000_000 + n),
			killer:      true,
			killAfter:   virtual.Between(w.choices, 10*time.Millisecond, 3*time.Second),
			resends:     maxResends,
		}
		w.After(virtual.Between(w.choices, 0, w.settings.Length), func() { w.submitAnywhere(killer) })
	}
	for range w.settings.RackFailures {
		w.After(virtual.Between(w.choices, 0, w.settings.Length), w.loseRack)
	}
	return innocents
}

// spread sends the instance's digest to a few peers.
func (w *world) spread(from *instance) {
	from.book.Tick(w.Now)
	digest := from.book.Export(w.Now)
	for range w.settings.DigestFanOut {
		to := w.instances[w.choices.IntN(len(w.instances))]
		w.After(virtual.Between(w.choices, time.Millisecond, 40*time.Millisecond), func() { to.book.Import(w.Now, digest) })
	}
	w.After(w.settings.DigestInterval, func() { w.spread(from) })
}

// loseRack ends several servers at nearly the same time.
func (w *world) loseRack() {
	first := w.choices.IntN(len(w.servers))
	size := 3 + w.choices.IntN(4)
	for n := range size {
		lost := w.servers[(first+n)%len(w.servers)]
		w.After(virtual.Between(w.choices, 0, 100*time.Millisecond), func() { w.lose(lost) })
	}
}

// lose ends a server; it returns after a while.
func (w *world) lose(lost *server) {
	if !lost.up {
		return
	}
	lost.up = false
	jobs := lost.running
	lost.running = make(map[int]*job)
	for _, i := range w.instances {
		w.tell(i, lost, jobs)
	}
	w.After(restartTime, func() {
		lost.up = true
		lost.boot++
	})
}

// tell lets an instance notice the death by its broken connections.
func (w *world) tell(i *instance, lost *server, jobs map[int]*job) {
	var own []*job
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if jobs[id].at == i {
			own = append(own, jobs[id])
		}
	}
	if len(own) == 0 {
		return
	}
	w.After(virtual.Between(w.choices, time.Millisecond, 50*time.Millisecond), func() {
		i.book.ServerFailed(w.Now, lost.name)
		for _, j := range own {
			w.release(j)
			w.After(virtual.Between(w.choices, 0, 100*time.Millisecond), func() { w.attempt(j) })
		}
	})
}
