package atmostonce

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// world simulates a set of instances, the platform's store, backend servers and
// callers in virtual time.
type world struct {
	virtual.Queue
	choices       virtual.Choices
	random        *rand.Rand
	shard         claim.Shard
	claimSettings claim.Settings
	callSettings  call.Settings
	retention     time.Duration
	instances     []*instance
	store         *store
	oracle        *oracle
	// serversFail enables failures of backend servers.
	serversFail bool
	// restarted is true once an instance lost its state in a restart.
	restarted bool
	nextCall  int
	// sendDelays holds the time from submission to sending of each sent call.
	sendDelays []time.Duration
	// resubmit makes callers repeat some of the calls that were refused.
	resubmit bool
	// onAnswer, if set, is called with each answer.
	onAnswer func(*submission, call.Finish)
}

// submission is one call that a caller sends with a key.
type submission struct {
	key int
	// body is 1 when a caller reuses the key for a different body, otherwise 0.
	body int
	at   time.Time
}

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(choices virtual.Choices, instances int, settings claim.Settings, retention time.Duration) *world {
	w := &world{
		choices:       choices,
		random:        rand.New(rand.NewPCG(uint64(choices.IntN(1<<30)), 1)),
		shard:         claim.Shard{Region: "home"},
		claimSettings: settings,
		callSettings:  call.DefaultSettings(),
		retention:     retention,
		store:         &store{objects: make(map[string]object)},
		oracle:        newOracle(retention - call.DefaultSettings().DispatchWindow),
	}
	w.Now = epoch
	for id := range instances {
		i := &instance{world: w, id: id}
		i.restart()
		w.instances = append(w.instances, i)
	}
	return w
}

func (w *world) storeLatency() time.Duration {
	return virtual.Between(w.choices, 2*time.Millisecond, 8*time.Millisecond)
}

// peerLatency is the time from one instance to another.
func (w *world) peerLatency(from, to *instance) time.Duration {
	if from == to {
		return 0
	}
	return time.Millisecond
}

// submit sends a caller's call to an instance.
func (w *world) submit(at *instance, sub *submission) {
	w.nextCall++
	callID := w.nextCall
	at.deliver(time.Millisecond, func() {
		request := call.Request{
			Mode:      call.ModeClaimed,
			Keyed:     true,
			Key:       claim.KeyOf("account", strconv.Itoa(sub.key)),
			Hash:      claim.BodyHash(sub.body),
			Attempt:   claim.AttemptID(w.random.Uint64()),
			Retention: w.retention,
			Deadline:  at.clock().Add(10 * time.Second),
		}
		machine := call.New(w.callSettings, request, nil, at.random)
		at.calls[callID] = &runningCall{machine: machine, submission: sub}
		at.stepCall(callID, call.Start{})
	})
}

func (w *world) answered(sub *submission, answer call.Finish) {
	w.oracle.answered(sub, answer, w.Now)
	if w.onAnswer != nil {
		w.onAnswer(sub, answer)
	}
	if w.resubmit && answer.Fault != nil && virtual.OneIn(w.choices, 2) {
		w.After(virtual.Between(w.choices, 0, 300*time.Millisecond), func() { w.submitAnywhere(sub.key) })
	}
}

func (w *world) submitAnywhere(key int) {
	sub := &submission{key: key, at: w.Now}
	if virtual.OneIn(w.choices, 20) {
		sub.body = 1
	}
	w.submit(w.instances[w.choices.IntN(len(w.instances))], sub)
}

func (w *world) recordSendDelay(sub *submission) {
	w.sendDelays = append(w.sendDelays, w.Now.Sub(sub.at))
}
