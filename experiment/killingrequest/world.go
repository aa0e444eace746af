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

// world simulates the instances, servers and callers of one schedule.
type world struct {
	virtual.Queue
	choices   virtual.Choices
	settings  Settings
	instances []*instance
	servers   []*server
	nextID    int
	result    Result
}

// instance simulates one entry instance.
type instance struct {
	id      int
	tracker *quarantine.Tracker
	// isolated counts the suspects that this instance runs on each server.
	isolated map[*server]int
}

// server simulates one backend server.
type server struct {
	name string
	up   bool
	// boot is incremented by each restart.
	boot    int
	running map[int]*job
}

// request is one caller's request; its second sends have the same fingerprint.
type request struct {
	fingerprint serving.Fingerprint
	// poison marks a poison request, which crashes its server after crashAfter.
	poison      bool
	crashAfter  time.Duration
	duration    time.Duration
	secondSends int
	answered    bool
}

// job is a submission of a request at one instance, and its attempt at a
// server.
type job struct {
	id       int
	request  *request
	at       *instance
	server   *server
	isolated bool
	// deferredSince is when the tracker last began to defer the submission.
	deferredSince time.Time
	ended         bool
}

// Result holds the counts of one schedule.
type Result struct {
	// CrashesPerPoisonRequest is the number of servers that each poison request crashed.
	CrashesPerPoisonRequest map[serving.Fingerprint]int
	// HarmlessRefused counts harmless submissions refused as quarantined.
	HarmlessRefused int
	// HarmlessDeferred counts harmless submissions given up after maxDeferral.
	HarmlessDeferred int
	// PoisonRefused counts poison submissions refused as quarantined.
	PoisonRefused int
	// Answered counts harmless requests that were answered.
	Answered int
	// Unanswered counts harmless requests that never got an answer.
	Unanswered int
}

// MaxCrashes returns the highest number of servers that one request crashed.
func (r Result) MaxCrashes() int {
	highest := 0
	for _, crashed := range r.CrashesPerPoisonRequest {
		highest = max(highest, crashed)
	}
	return highest
}

// RunSchedule runs one schedule, drawn from choices, and returns its counts.
func RunSchedule(choices virtual.Choices, settings Settings) Result {
	w := &world{choices: choices, settings: settings}
	w.result.CrashesPerPoisonRequest = make(map[serving.Fingerprint]int)
	w.Now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for id := range settings.Instances {
		name := "instance-" + strconv.Itoa(id)
		i := &instance{id: id, tracker: quarantine.NewTracker(name, quarantine.DefaultSettings()), isolated: make(map[*server]int)}
		w.instances = append(w.instances, i)
		w.After(virtual.Between(choices, 0, settings.DigestInterval), func() { w.sendDigests(i) })
	}
	for id := range settings.Servers {
		w.servers = append(w.servers, &server{name: "server-" + strconv.Itoa(id), up: true, running: make(map[int]*job)})
	}
	harmless := w.scheduleRequests()
	w.RunUntil(w.Now.Add(settings.Length + completionTime))
	for _, r := range harmless {
		if !r.answered {
			w.result.Unanswered++
		}
	}
	return w.result
}

// scheduleRequests schedules requests and rack failures at random times and returns the
// harmless requests.
func (w *world) scheduleRequests() []*request {
	var harmless []*request
	count := int(w.settings.Length / w.settings.ArrivalInterval)
	for n := range count {
		r := &request{
			fingerprint: serving.Fingerprint(n + 1),
			duration:    virtual.Between(w.choices, 100*time.Millisecond, 8*time.Second),
		}
		harmless = append(harmless, r)
		w.After(virtual.Between(w.choices, 0, w.settings.Length), func() { w.submitAnywhere(r) })
	}
	for n := range w.settings.PoisonRequests {
		r := &request{
			fingerprint: serving.Fingerprint(1_000_000 + n),
			poison:      true,
			crashAfter:  virtual.Between(w.choices, 10*time.Millisecond, 3*time.Second),
			secondSends: maxSecondSends,
		}
		w.After(virtual.Between(w.choices, 0, w.settings.Length), func() { w.submitAnywhere(r) })
	}
	for range w.settings.RackFailures {
		w.After(virtual.Between(w.choices, 0, w.settings.Length), w.failRack)
	}
	return harmless
}

// sendDigests sends the instance's digest to a few instances at each digest interval.
func (w *world) sendDigests(from *instance) {
	from.tracker.Tick(w.Now)
	digest := from.tracker.Export(w.Now)
	for range w.settings.DigestFanOut {
		to := w.instances[w.choices.IntN(len(w.instances))]
		w.After(virtual.Between(w.choices, time.Millisecond, 40*time.Millisecond), func() { to.tracker.Import(w.Now, digest) })
	}
	w.After(w.settings.DigestInterval, func() { w.sendDigests(from) })
}

// failRack lets several servers fail at nearly the same time.
func (w *world) failRack() {
	first := w.choices.IntN(len(w.servers))
	size := 3 + w.choices.IntN(4)
	for n := range size {
		failed := w.servers[(first+n)%len(w.servers)]
		w.After(virtual.Between(w.choices, 0, 100*time.Millisecond), func() { w.failServer(failed) })
	}
}

// failServer lets a server fail; it restarts after restartTime.
func (w *world) failServer(failed *server) {
	if !failed.up {
		return
	}
	failed.up = false
	jobs := failed.running
	failed.running = make(map[int]*job)
	for _, i := range w.instances {
		w.detectFailure(i, failed, jobs)
	}
	w.After(restartTime, func() {
		failed.up = true
		failed.boot++
	})
}

// detectFailure lets an instance detect the failure by its broken connections and retry its
// submissions. An instance with no submission on the server detects nothing.
func (w *world) detectFailure(i *instance, failed *server, jobs map[int]*job) {
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
		i.tracker.ServerFailed(w.Now, failed.name)
		for _, j := range own {
			w.release(j)
			w.After(virtual.Between(w.choices, 0, 100*time.Millisecond), func() { w.attempt(j) })
		}
	})
}
