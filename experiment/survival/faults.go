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

// faultInjector injects faults into a running estate.
type faultInjector struct {
	estate *loopback.Estate
	random *rand.Rand
	// injected describes the injected faults in order.
	injected []string
}

// run injects one fault after the other until all are done or the context ends.
func (b *faultInjector) run(ctx context.Context) {
	steps := []func(context.Context){
		b.killEngine,
		b.silenceEngine,
		b.abortLeaseHolder,
		b.platformOutage,
		b.pauseEngine,
		b.failDataCentre,
	}
	for _, step := range steps {
		if !pause.For(ctx, faultInterval) {
			return
		}
		step(ctx)
	}
}

// pickEngine returns a random live engine that serves a stream, and nil when there is none.
func (b *faultInjector) pickEngine() (string, *engine.Engine) {
	var names []string
	for name, candidate := range b.estate.Engines {
		if candidate.Alive() && candidate.RunningStreams() > 0 {
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

func (b *faultInjector) killEngine(context.Context) {
	if name, chosen := b.pickEngine(); chosen != nil {
		b.injected = append(b.injected, "engine "+name+" failed")
		chosen.Kill()
	}
}

func (b *faultInjector) silenceEngine(context.Context) {
	if name, chosen := b.pickEngine(); chosen != nil {
		b.injected = append(b.injected, "connections of engine "+name+" went silent")
		chosen.SilenceConnections()
	}
}

func (b *faultInjector) pauseEngine(ctx context.Context) {
	if name, chosen := b.pickEngine(); chosen != nil {
		b.injected = append(b.injected, "engine "+name+" paused and continued")
		chosen.Pause()
		pause.For(ctx, faultInterval)
		chosen.Unpause()
	}
}

// abortLeaseHolder aborts one instance that holds an orders lease.
func (b *faultInjector) abortLeaseHolder(context.Context) {
	for _, instance := range b.runningInstances() {
		dump := instance.Dump(0)
		if len(dump.Leases) > 0 {
			b.injected = append(b.injected, "instance "+dump.Instance+", holder of a lease, was aborted")
			instance.Abort()
			return
		}
	}
}

// platformOutage makes the object API unavailable for outageDuration.
func (b *faultInjector) platformOutage(ctx context.Context) {
	b.injected = append(b.injected, "the platform was unavailable")
	b.estate.ObjectAPI.SetFaults(objectapi.Faults{Outage: true})
	pause.For(ctx, outageDuration)
	b.estate.ObjectAPI.SetFaults(objectapi.Faults{})
}

// failDataCentre ends every engine and aborts every instance of a random data centre.
func (b *faultInjector) failDataCentre(context.Context) {
	running := b.runningInstances()
	failedDataCentre := running[b.random.IntN(len(running))].Dump(0).DataCentre
	b.injected = append(b.injected, "data centre "+failedDataCentre+" failed")
	for _, server := range b.estate.Configuration.BackendServers {
		if chosen := b.estate.Engines[server.Name]; chosen != nil && server.DataCentre == failedDataCentre {
			chosen.Kill()
		}
	}
	for _, instance := range running {
		if instance.Dump(0).DataCentre == failedDataCentre {
			instance.Abort()
		}
	}
}

// runningInstances returns the instances that are not stopping.
func (b *faultInjector) runningInstances() []*entry.Entry {
	var live []*entry.Entry
	for _, instance := range b.estate.Entries {
		if !instance.Dump(0).Stopping {
			live = append(live, instance)
		}
	}
	return live
}
