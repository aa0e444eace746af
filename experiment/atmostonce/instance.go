package atmostonce

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// instance simulates one entry instance.
type instance struct {
	world *world
	id    int
	// boot is incremented by each restart; events of earlier boots are discarded.
	boot        int
	pausedUntil time.Time
	skew        time.Duration
	// cutFromStore and cutFromPeers are true during a network partition.
	cutFromStore bool
	cutFromPeers bool
	// owner is the index of the instance that this one regards as the shard's owner.
	owner     int
	committer *claim.Committer
	calls     map[int]*runningCall
	// callbacks holds the callback of each pending operation by the operation's ID.
	callbacks map[uint64]func(claim.Answer)
	nextID    uint64
	random    *rand.Rand
}

// runningCall holds one call in progress at an instance.
type runningCall struct {
	machine    *call.Machine
	submission *submission
}

func (i *instance) restart() {
	i.boot++
	// The boot is part of the seed so that no two processes draw the same random numbers.
	i.random = rand.New(rand.NewPCG(uint64(i.world.choices.IntN(1<<30)), uint64(i.boot)<<32|uint64(i.id)))
	i.committer = claim.New(i.world.shard, i.world.claimSettings, i.random)
	i.calls = make(map[int]*runningCall)
	i.callbacks = make(map[uint64]func(claim.Answer))
}

// clock returns the time of the instance's own clock: virtual time plus its skew.
func (i *instance) clock() time.Time { return i.world.Now.Add(i.skew) }

// deliver calls run at the instance after a delay, or at the end of a pause if
// that is later. It discards run if the instance was restarted meanwhile.
func (i *instance) deliver(delay time.Duration, run func()) {
	i.deliverTo(i.boot, delay, run)
}

// deliverTo does the same for a given boot, so that the answer to a request of an
// earlier boot never reaches a later one.
func (i *instance) deliverTo(boot int, delay time.Duration, run func()) {
	var attempt func()
	attempt = func() {
		switch {
		case i.boot != boot:
		case i.world.Now.Before(i.pausedUntil):
			i.world.After(i.pausedUntil.Sub(i.world.Now), attempt)
		default:
			run()
		}
	}
	i.world.After(delay, attempt)
}

// submitToCommitter submits an operation to the instance's committer; answer receives the
// result.
func (i *instance) submitToCommitter(operation claim.Operation, answer func(claim.Answer)) {
	i.nextID++
	operation.ID = i.nextID
	i.callbacks[i.nextID] = answer
	i.stepCommitter(claim.Submit{Operation: operation})
}

func (i *instance) stepCommitter(input claim.Input) {
	for _, output := range i.committer.Step(i.clock(), input) {
		switch output := output.(type) {
		case claim.Read:
			i.read(output)
		case claim.Write:
			i.write(output)
		case claim.Delete:
			delete(i.world.store.objects, output.Key)
		case claim.Answer:
			answer := i.callbacks[output.ID]
			delete(i.callbacks, output.ID)
			answer(output)
		case claim.Wake:
			i.deliver(output.At.Sub(i.clock()), func() { i.stepCommitter(claim.Tick{}) })
		}
	}
}

func (i *instance) read(read claim.Read) {
	done := claim.ReadDone{Status: claim.StatusFailed}
	delay := storeTimeout
	if !i.cutFromStore && !i.world.store.unavailable {
		done = i.world.store.read(read.Key)
		delay = i.world.storeLatency()
	}
	done.Ticket = read.Ticket
	i.deliver(delay, func() { i.stepCommitter(done) })
}

// write sends a write to the store. The write may be lost, be applied without an
// answer, or be applied long after the client timed out.
func (i *instance) write(write claim.Write) {
	w := i.world
	failed := claim.WriteDone{Ticket: write.Ticket, Status: claim.StatusFailed}
	if i.cutFromStore || w.store.unavailable {
		i.deliver(storeTimeout, func() { i.stepCommitter(failed) })
		return
	}
	if w.store.delayWrites && virtual.OneIn(w.choices, 3) {
		w.After(virtual.Between(w.choices, storeTimeout, 4*time.Second), func() { w.store.write(write) })
		i.deliver(storeTimeout, func() { i.stepCommitter(failed) })
		return
	}
	latency, boot := w.storeLatency(), i.boot
	lost := w.store.loseAnswers && virtual.OneIn(w.choices, 3)
	w.After(latency/2, func() {
		done := w.store.write(write)
		done.Ticket = write.Ticket
		if lost {
			done = failed
			latency = storeTimeout
		}
		i.deliverTo(boot, latency-latency/2, func() { i.stepCommitter(done) })
	})
}

// submitOperation sends a call's operation to the shard's owner, or directly to the
// instance's own committer.
func (i *instance) submitOperation(callID int, submit call.Submit) {
	operation := submit.Operation
	reply := func(answer claim.Answer) call.OperationAnswered {
		return call.OperationAnswered{ID: operation.ID, Verdict: answer.Result, Outcome: answer.Outcome}
	}
	if submit.Direct || i.owner == i.id {
		// An answer of the own committer is delivered as a separate event.
		i.submitToCommitter(operation, func(answer claim.Answer) {
			i.deliver(0, func() { i.stepCall(callID, reply(answer)) })
		})
		return
	}
	home := i.world.instances[i.owner]
	if i.cutFromPeers || home.cutFromPeers {
		if virtual.OneIn(i.world.choices, 2) {
			i.deliver(time.Millisecond, func() { i.stepCall(callID, call.ForwardFailed{ID: operation.ID}) })
		}
		return
	}
	home.deliver(i.world.peerLatency(i, home), func() {
		home.submitToCommitter(operation, func(answer claim.Answer) {
			if home.cutFromPeers || i.cutFromPeers {
				return
			}
			i.deliver(i.world.peerLatency(i, home), func() { i.stepCall(callID, reply(answer)) })
		})
	})
}

func (i *instance) stepCall(callID int, input call.Input) {
	run := i.calls[callID]
	if run == nil {
		return
	}
	for _, output := range run.machine.Step(i.clock(), input) {
		switch output := output.(type) {
		case call.Submit:
			i.submitOperation(callID, output)
		case call.RequestRoute:
			i.chooseServer(callID, output)
		case call.Dispatch:
			i.dispatch(callID, run.submission, output)
		case call.Finish:
			i.world.answered(run.submission, output)
		case call.Wake:
			i.deliver(output.At.Sub(i.clock()), func() { i.stepCall(callID, call.Tick{}) })
		}
	}
	if run.machine.Done() {
		delete(i.calls, callID)
	}
}

func (i *instance) chooseServer(callID int, request call.RequestRoute) {
	i.deliver(0, func() {
		if i.world.serversFail && virtual.OneIn(i.world.choices, 20) {
			i.stepCall(callID, call.RouteFailed{Fault: noServer()})
			return
		}
		i.stepCall(callID, call.RouteChosen{Server: "server-" + strconv.Itoa(len(request.Exclude))})
	})
}
