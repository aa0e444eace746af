package orders

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/lease"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// leasePrefix is the prefix of the lease objects' keys.
const leasePrefix = "lease/orders/"

// leaseRunner runs a lease machine against the platform. One goroutine uses it; the platform
// calls run in other goroutines, which send their results to answers.
type leaseRunner struct {
	key     string
	store   objectstore.Store
	machine *lease.Machine
	started time.Time
	answers chan lease.Input
}

func newLeaseRunner(dataCentre string, store objectstore.Store, settings lease.Settings) *leaseRunner {
	return &leaseRunner{
		key:     leasePrefix + dataCentre,
		store:   store,
		machine: lease.New(settings),
		started: time.Now(),
		answers: make(chan lease.Input, 1),
	}
}

// now returns the monotonic time since the start.
func (r *leaseRunner) now() time.Duration { return time.Since(r.started) }

// held returns the fencing token, and whether the lease is held and valid.
func (r *leaseRunner) held() (uint64, bool) { return r.machine.Held(r.now()) }

// step passes one input to the machine and starts the platform calls it returns.
func (r *leaseRunner) step(ctx context.Context, input lease.Input) {
	for _, output := range r.machine.Step(r.now(), input) {
		go r.call(ctx, output)
	}
}

// call makes one platform call and sends its result to answers.
func (r *leaseRunner) call(ctx context.Context, output lease.Output) {
	answer := r.execute(ctx, output)
	select {
	case r.answers <- answer:
	case <-ctx.Done():
	}
}

func (r *leaseRunner) execute(ctx context.Context, output lease.Output) lease.Input {
	if write, ok := output.(lease.Write); ok {
		return r.write(ctx, write)
	}
	return r.read(ctx, output.(lease.Read).Call)
}

func (r *leaseRunner) read(ctx context.Context, call uint64) lease.Input {
	object, err := r.store.Get(ctx, r.key)
	if fault.HasCode(err, fault.NotFound) {
		return lease.ReadAnswer{Call: call}
	}
	answer := lease.ReadAnswer{Call: call, Found: true, Version: object.Version}
	if err != nil || json.Unmarshal(object.Value, &answer.Record) != nil {
		return lease.CallFailed{Call: call}
	}
	return answer
}

func (r *leaseRunner) write(ctx context.Context, write lease.Write) lease.Input {
	value, err := json.Marshal(write.Record)
	if err != nil {
		return lease.CallFailed{Call: write.Call}
	}
	condition := objectstore.IfAbsent()
	if write.IfVersion != 0 {
		condition = objectstore.IfVersion(write.IfVersion)
	}
	version, err := r.store.Put(ctx, r.key, value, condition)
	switch {
	case err == nil:
		return lease.Written{Call: write.Call, Version: version}
	case fault.HasCode(err, fault.PlatformConflict):
		return lease.Conflict{Call: write.Call}
	default:
		return lease.CallFailed{Call: write.Call}
	}
}
