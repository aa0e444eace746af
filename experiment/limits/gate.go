package limits

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// gate admits requests to the slots of one instance.
type gate interface {
	// Each method returns the requests that were started or refused.
	arrive(now time.Duration, id string, account estate.ClientAccount) []admission.Output
	release(now time.Duration, id string) []admission.Output
	expire(now time.Duration) []admission.Output
}

// controlled uses the admission controller of the entry instances.
type controlled struct {
	controller *admission.Controller
}

func newControlled(capacity int, seed uint64) gate {
	controller := admission.New(admission.DefaultConfig(), rand.New(rand.NewPCG(seed, 5)))
	controller.SetCapacity(0, "s", capacity)
	return controlled{controller}
}

func (g controlled) arrive(now time.Duration, id string, account estate.ClientAccount) []admission.Output {
	return g.controller.Arrive(now, admission.Arrival{ID: id, Account: account, Service: "s", Deadline: now + callerTimeout})
}

func (g controlled) release(now time.Duration, id string) []admission.Output {
	return g.controller.Release(now, id)
}

func (g controlled) expire(now time.Duration) []admission.Output { return g.controller.Expire(now) }

// unlimited queues every request in the order of arrival and refuses none. It is the
// baseline of the comparison.
type unlimited struct {
	capacity int
	running  int
	queue    []string
}

func newUnlimited(capacity int, _ uint64) gate { return &unlimited{capacity: capacity} }

func (g *unlimited) arrive(_ time.Duration, id string, _ estate.ClientAccount) []admission.Output {
	g.queue = append(g.queue, id)
	return g.start()
}

func (g *unlimited) release(time.Duration, string) []admission.Output {
	g.running--
	return g.start()
}

func (g *unlimited) expire(time.Duration) []admission.Output { return nil }

func (g *unlimited) start() []admission.Output {
	var outputs []admission.Output
	for g.running < g.capacity && len(g.queue) > 0 {
		outputs = append(outputs, admission.Output{ID: g.queue[0]})
		g.queue = g.queue[1:]
		g.running++
	}
	return outputs
}
