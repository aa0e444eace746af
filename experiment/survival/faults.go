package survival

import (
	"context"
	"math/rand/v2"
	"sort"

	"github.com/wisteriahaven/wisteriahaven/entry"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/loopback"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
)

// breaker injects faults into a running estate.
type breaker struct {
	estate *loopback.Estate
	random *rand.Rand
	// broken describes the injected faults in order.
	broken []string
}

// run injects one fault after the other until all are done or the context ends.
func (b *breaker) run(ctx context.Context) {
	steps := []func(context.Context){
		b.killEngine,
		b.silenceEngine,
		b.endLeaseHolder,
		b.platformOutage,
		b.pauseEngine,
		b.endDataCentre,
	}
	for _, step := range steps {
		if !pause.For(ctx, faultGap) {
			return
		}
		step(ctx)
	}
}

// pick returns a random live engine that serves a stream, and nil when there is none.
func (b *breaker) pick() (string, *engine.Engine) {
	var names []string
	for name, candidate := range b.estate.Engines {
		if candidate.Alive() && candidate.Running() > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", nil
	}
	sort.Strings(names)
	name := names[b.random.IntN(len(names))]
	return name, b.estate.Engines[name]
}

func (b *breaker) killEngine(context.Context) {
	if name, chosen := b.pick(); chosen != nil {
		b.broken = append(b.broken, "engine "+name+" failed")
		chosen.Kill()
	}
}

func (b *breaker) silenceEngine(context.Context) {
	if name, chosen := b.pick(); chosen != nil {
		b.broken = append(b.broken, "connections of engine "+name+" went silent")
		chosen.SilenceConnections()
	}
}

func (b *breaker) pauseEngine(ctx context.Context) {
	if name, chosen := b.pick(); chosen != nil {
		b.broken = append(b.broken, "engine "+name+" paused and continued")
		chosen.Pause()
		pause.For(ctx, faultGap)
		chosen.Unpause()
	}
}

// endLeaseHolder aborts one instance that holds an orders lease.
func (b *breaker) endLeaseHolder(context.Context) {
	for _, instance := range b.running() {
		dump := instance.Dump(0)
		if len(dump.Leases) > 0 {
			b.broken = append(b.broken, "instance "+dump.Instance+", holder of a lease, was aborted")
			instance.Abort()
			return
		}
	}
}

// platformOutage makes the object API unavailable for outageLength.
func (b *breaker) platformOutage(ctx context.Context) {
	b.broken = append(b.broken, "the platform was unavailable")
	b.estate.ObjectAPI.SetFaults(objectapi.Faults{Outage: true})
	pause.For(ctx, outageLength)
	b.estate.ObjectAPI.SetFaults(objectapi.Faults{})
}

// endDataCentre ends every engine and aborts every instance of a random data centre.
func (b *breaker) endDataCentre(context.Context) {
	running := b.running()
	lost := running[b.random.IntN(len(running))].Dump(0).DataCentre
	b.broken = append(b.broken, "data centre "+lost+" failed")
	for _, server := range b.estate.Configuration.BackendServers {
		if chosen := b.estate.Engines[server.Name]; chosen != nil && server.DataCentre == lost {
			chosen.Kill()
		}
	}
	for _, instance := range running {
		if instance.Dump(0).DataCentre == lost {
			instance.Abort()
		}
	}
}

// running returns the instances that are not stopping.
func (b *breaker) running() []*entry.Entry {
	var live []*entry.Entry
	for _, instance := range b.estate.Entries {
		if !instance.Dump(0).Stopping {
			live = append(live, instance)
		}
	}
	return live
}
