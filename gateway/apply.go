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
	// reservedDescriptors are kept for backend servers, the store and files. A
	// client's connection needs one, and another while a request runs.
	reservedDescriptors = 400
	// heapFraction is the fraction of the process's memory that the heap may use
	// before the garbage collector runs more often: kernel buffers and stacks
	// need the rest.
	heapFraction = 0.6
	// bodyFraction is the fraction of the process's memory that all request bodies
	// together may use: less than half of the heap, because they are copied when
	// they are sent.
	bodyFraction = 0.25
	// spareRelayConnections is the number of connections for peers' requests that are refused.
	spareRelayConnections = 16
	// relayedBodyFraction is bodyFraction for the requests of peers.
	relayedBodyFraction = 0.0625
	// answerFraction is the fraction of the process's memory that all buffered answers together may
	// use: their buffers are up to twice as large, and are copied when they grow.
	answerFraction = 0.125
)

// Apply applies changed settings to the running instance. Its name, data centre,
// region, addresses and store don't change until the next start; the log line
// names those that differ.
func (g *Gateway) Apply(changed settings.Settings) {
	gatewaySettings := changed.Gateway
	if gatewaySettings == nil {
		event.Log(g.logger, event.SettingsReloaded).Strs("next_start", []string{"gateway"}).Send()
		return
	}
	g.forwarder.Apply(reloadableOptions(gatewaySettings))
	g.ingress.SetLimits(clientLimits(gatewaySettings))
	g.relay.SetLimits(relayLimits(gatewaySettings))
	g.peers.SetRegions(gatewaySettings.Regions())
	g.peers.AddSeeds(seedAddresses(gatewaySettings))
	g.stopTime.Store(int64(gatewaySettings.StopTime()))
	limitHeap(gatewaySettings)
	event.Log(g.logger, event.SettingsReloaded).Strs("next_start", g.nextStartFields(changed)).Send()
}

// nextStartFields names the changed fields that take effect at the next start.
func (g *Gateway) nextStartFields(changed settings.Settings) []string {
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
		{"gateway.relay", before.Gateway.Relay, now.Gateway.Relay},
		{"gateway.store", before.Gateway.Store, now.Gateway.Store},
	} {
		if field.before != field.now {
			fields = append(fields, field.name)
		}
	}
	return fields
}

// reloadableOptions returns the forwarder's options that may change while it runs.
func reloadableOptions(gatewaySettings *settings.Gateway) forward.ReloadableOptions {
	return forward.ReloadableOptions{
		Regions: gatewaySettings.Regions(),
		SecondSends: secondsends.Limits{
			Ratio:          gatewaySettings.SecondSends.Ratio,
			FixedAllowance: gatewaySettings.SecondSends.Extra,
			Window:         gatewaySettings.SecondSends.Window(),
		},
		AddressReuse:    gatewaySettings.AddressReuse(),
		QuarantineTime:  gatewaySettings.QuarantineTime(),
		RelayedRequests: gatewaySettings.RelayedRequests,
		AnswerBytes:     int64(answerFraction * gatewaySettings.MemoryMB * (1 << 20)),
	}
}

// clientLimits returns the bounds on the resources that clients may use.
func clientLimits(gatewaySettings *settings.Gateway) ingress.Limits {
	return ingress.Limits{
		Connections: max(1, (gatewaySettings.Descriptors-reservedDescriptors)/2),
		BodyBytes:   int64(bodyFraction * gatewaySettings.MemoryMB * (1 << 20)),
	}
}

// relayLimits returns the bounds on the resources that requests of peers may use. Connections beyond RelayedRequests
// get an answer that their request did not run; those beyond Connections get none.
func relayLimits(gatewaySettings *settings.Gateway) ingress.Limits {
	return ingress.Limits{
		Connections: gatewaySettings.RelayedRequests*3/2 + spareRelayConnections,
		BodyBytes:   int64(relayedBodyFraction * gatewaySettings.MemoryMB * (1 << 20)),
	}
}

// seedAddresses returns the addresses of the seeds. They were validated with the
// settings, so that parsing can't fail.
func seedAddresses(gatewaySettings *settings.Gateway) []netip.Addr {
	var seeds []netip.Addr
	for _, seed := range gatewaySettings.Seeds {
		seeds = append(seeds, netip.MustParseAddrPort(seed).Addr())
	}
	return seeds
}

func limitHeap(gatewaySettings *settings.Gateway) {
	debug.SetMemoryLimit(int64(heapFraction * gatewaySettings.MemoryMB * (1 << 20)))
}
