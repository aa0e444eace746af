package gateway

import (
	"net/netip"
	"runtime/debug"

	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/forward"
	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

const (
	// reservedDescriptors are left for backend servers, the store and files: a
	// client's connection needs one for itself and, while a request runs, one
	// more.
	reservedDescriptors = 400
	// heapPart is the part of the process's memory that the heap may use before
	// the collector works harder: buffers of the kernel and stacks need the rest.
	heapPart = 0.6
	// bodyPart is the part of the process's memory that the bodies of requests
	// may take together: half of the heap, because they are copied when they are
	// sent.
	bodyPart = 0.25
)

// Apply takes over changed settings. Addresses, the store and the place of the
// instance stay as they are until the next start: the log line names those that
// differ.
func (g *Gateway) Apply(changed settings.Settings) {
	own := changed.Gateway
	if own == nil {
		event.Log(g.logger, event.SettingsReloaded).Strs("next_start", []string{"gateway"}).Send()
		return
	}
	g.forwarder.Apply(changeable(own))
	g.ingress.SetLimits(clientLimits(own))
	g.peers.AddSeeds(seedAddresses(own))
	g.stopTime.Store(int64(own.StopTime()))
	limitHeap(own)
	event.Log(g.logger, event.SettingsReloaded).Strs("next_start", g.fixed(changed)).Send()
}

// fixed returns the fields that differ and hold from the next start on.
func (g *Gateway) fixed(changed settings.Settings) []string {
	before, now := g.settings, changed
	var fields []string
	for _, field := range []struct{ name, before, now string }{
		{"instance", before.Instance, now.Instance},
		{"data_centre", before.DataCentre, now.DataCentre},
		{"region", before.Region, now.Region},
		{"gateway.clients", before.Gateway.Clients, now.Gateway.Clients},
		{"gateway.readiness", before.Gateway.Readiness, now.Gateway.Readiness},
		{"gateway.metrics", before.Gateway.Metrics, now.Gateway.Metrics},
		{"gateway.peers", before.Gateway.Peers, now.Gateway.Peers},
		{"gateway.store", before.Gateway.Store, now.Gateway.Store},
	} {
		if field.before != field.now {
			fields = append(fields, field.name)
		}
	}
	return fields
}

// changeable returns the options of forwarding that may change.
func changeable(own *settings.Gateway) forward.ReloadableOptions {
	return forward.ReloadableOptions{
		Regions: own.Regions(),
		SecondSends: secondsends.Limits{
			Ratio:          own.SecondSends.Ratio,
			FixedAllowance: own.SecondSends.Extra,
			Window:         own.SecondSends.Window(),
		},
		AddressReuse: own.AddressReuse(),
	}
}

// clientLimits returns what clients may take.
func clientLimits(own *settings.Gateway) ingress.Limits {
	return ingress.Limits{
		Connections: max(1, (own.Descriptors-reservedDescriptors)/2),
		BodyBytes:   int64(bodyPart * own.MemoryMB * (1 << 20)),
	}
}

// seedAddresses returns the addresses of the seeds, which were checked with the
// settings.
func seedAddresses(own *settings.Gateway) []netip.Addr {
	var seeds []netip.Addr
	for _, seed := range own.Seeds {
		seeds = append(seeds, netip.MustParseAddrPort(seed).Addr())
	}
	return seeds
}

func limitHeap(own *settings.Gateway) {
	debug.SetMemoryLimit(int64(heapPart * own.MemoryMB * (1 << 20)))
}
