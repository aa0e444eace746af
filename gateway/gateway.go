package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/duty"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/forward"
	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/quarantinearchive"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/gateway/streamarchive"
	"github.com/wisteriahaven/wisteriahaven/gateway/versionarchive"
	"github.com/wisteriahaven/wisteriahaven/internal/contain"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/keepalive"
)

const domain = "gateway"

// Gateway is one running instance.
type Gateway struct {
	settings  settings.Settings
	adapters  Adapters
	logger    zerolog.Logger
	metrics   metrics.Registry
	guard     *contain.Guard
	duties    *duty.Group
	state     *discovery.State
	directory *directory.Directory
	follower  *discovery.Follower
	forwarder *forward.Forwarder
	ingress   *ingress.Server
	// relay serves the requests that peers hand over.
	relay    *ingress.Server
	peers    *peers.Service
	rollouts *rollouts.Manager
	archive  *streamarchive.Archive
	// served keeps the software versions that services had lately in the store.
	served *versionarchive.Archive
	// startedAt is when the background tasks were started; nil until then.
	startedAt atomic.Pointer[time.Time]
	// quarantines keeps the quarantined requests in the store.
	quarantines *quarantinearchive.Archive
	monitor     *monitor
	listeners   []net.Listener
	// stopTime is the time, a time.Duration, that a planned stop may take.
	stopTime  atomic.Int64
	stopping  atomic.Bool
	abortOnce sync.Once
	mu        sync.Mutex
	ready     bool
}

// New builds an instance without starting it.
func New(s settings.Settings, adapters Adapters, logger zerolog.Logger) *Gateway {
	logger = logger.With().Str("instance", s.Instance).Logger()
	g := &Gateway{
		settings:  s,
		adapters:  adapters,
		logger:    logger,
		metrics:   metrics.NewRegistry(),
		duties:    duty.NewGroup(context.Background(), logger),
		state:     discovery.NewState(),
		directory: directory.New(),
	}
	g.guard = contain.New(logger, g.metrics)
	g.follower = discovery.NewFollower(adapters.Feed, g.state, g.directory,
		func() discovery.RelayRole { return g.peers.RelayRole() }, func() { g.peers.Announce() }, logger)
	gatewaySettings := s.Gateway
	g.rollouts = rollouts.New(g.rolloutOptions())
	g.forwarder = forward.New(forward.Options{
		Protocol:          adapters.Protocol,
		State:             g.state,
		Directory:         g.directory,
		Place:             placement.Place{DataCentre: s.DataCentre, Region: s.Region},
		ReloadableOptions: reloadableOptions(gatewaySettings),
		Policy:            placement.DefaultPolicy(),
		Group:             func() peers.Group { return g.peers.Group() },
		OnUnreachable:     func(server *directory.Server, down bool) { g.peers.AnnounceFailure(server, down) },
		OnCutOff:          func(cutOff peers.CutOff) { g.peers.AnnounceCutOff(cutOff) },
		AnnouncePoison:    func() { g.peers.AnnouncePoison() },
		OnLeaving:         func(server *directory.Server) { g.peers.AnnounceLeaving(server) },
		OnRejection:       func(server *directory.Server) { g.peers.AnnounceRejection(server) },
		SharesAt:          func(servers []*directory.Server) map[string]rejections.Share { return g.peers.SharesAt(servers) },
		OnStreamBegun:     func(record streamversion.Record) { g.peers.RecordStream(record) },
		ArchiveStream:     func(record streamversion.Record) { g.archive.Add(record) },
		LoadStreams:       func(ctx context.Context) (bool, error) { return g.archive.Load(ctx) },
		OtherVersion:      func(than streamversion.Origin) (bool, bool) { return g.served.HasOther(than) },
		VersionLeft:       func(service string) bool { return g.served.HasLeft(service) },
		RelayTargets:      func(service string) []peers.RelayTarget { return g.peers.RelayTargets(service) },
		CatchUp:           func() error { return g.follower.CatchUp() },
		AskPeers:          func(key streamversion.Key) forward.StreamInquiry { return g.peers.AskStream(key) },
		Rollouts:          g.rollouts,
		Instance:          s.Instance,
		RelayPort:         gatewaySettings.RelayPort(),
		DialServer:        adapters.DialServer,
		Logger:            logger,
		Metrics:           g.metrics,
	})
	g.ingress = ingress.NewServer(g.forwarder, clientLimits(gatewaySettings), g.guard, logger)
	g.relay = ingress.NewServer(g.forwarder.RelayHandler(), relayLimits(gatewaySettings), g.guard, logger)
	g.stopTime.Store(int64(gatewaySettings.StopTime()))
	g.peers = peers.New(g.peerOptions())
	g.served = versionarchive.New(versionarchive.Options{
		DataCentre: s.DataCentre, Store: adapters.Versions, Directory: g.directory, Logger: logger,
		Writes: func() bool { return g.peers.RelayRole() == discovery.Primary },
	})
	g.archive = streamarchive.New(streamarchive.Options{
		Guard:    g.guard,
		Instance: s.Instance, Store: adapters.Streams, Directory: g.directory, Logger: logger,
		SeveralLately: g.severalOrigins,
		Writes:        func() bool { return g.peers.RelayRole() == discovery.Primary },
		Learn:         g.forwarder.StreamVersions().Learn,
	})
	g.quarantines = quarantinearchive.New(quarantinearchive.Options{
		DataCentre: s.DataCentre, Store: adapters.Quarantines, Logger: logger,
		Known: g.forwarder.Quarantines, Learn: g.forwarder.LearnQuarantines,
		Writes: func() bool { return g.peers.RelayRole() == discovery.Primary },
	})
	g.monitor = newMonitor(g)
	return g
}

// Start listens on the instance's addresses and starts its background tasks.
func (g *Gateway) Start() error {
	gatewaySettings := g.settings.Gateway
	limitHeap(gatewaySettings)
	clients, err := g.listen("clients", gatewaySettings.Clients)
	if err != nil {
		return err
	}
	if err := g.monitor.start(); err != nil {
		return err
	}
	if err := g.peers.Listen(); err != nil {
		return err
	}
	if gatewaySettings.Relay != "" {
		requests, err := g.listen("relay", gatewaySettings.Relay)
		if err != nil {
			return err
		}
		g.duties.Go("relay", func(context.Context) { g.relay.Serve(requests) })
	}
	g.duties.Go("digests", g.peers.Run)
	g.duties.Go("fetches", g.peers.RunFetch)
	g.duties.Go("configuration", g.follower.RunConfiguration)
	g.duties.Go("key record", g.follower.RunKeyRecord)
	g.duties.Go("servers", g.follower.RunServers)
	if gatewaySettings.Rollouts.Share > 0 {
		g.duties.Go("rollouts", g.rollouts.Run)
		g.duties.Go("orders of rollouts", g.rollouts.RunFollow)
		g.duties.Go("states of rollouts", g.rollouts.RunWrite)
	}
	g.duties.Go("reach", g.forwarder.RunReach)
	now := time.Now()
	g.startedAt.Store(&now)
	g.duties.Go("quarantines", g.quarantines.Run)
	g.duties.Go("quarantines of others", g.quarantines.RunFollow)
	g.duties.Go("served versions", g.served.Run)
	g.duties.Go("stream records", g.archive.Run)
	g.duties.Go("housekeeping", g.runMaintenance)
	g.duties.Go("clients", func(context.Context) { g.ingress.Serve(clients) })
	event.Log(g.logger, event.ProcessStarted).Str("clients", gatewaySettings.Clients).Str("readiness", gatewaySettings.Readiness).
		Str("metrics", gatewaySettings.Metrics).Str("store", gatewaySettings.Store).Send()
	return nil
}

func (g *Gateway) listen(field, address string) (net.Listener, error) {
	config := keepalive.ListenConfig()
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, domain, "gateway."+field, err)
	}
	g.listeners = append(g.listeners, listener)
	return listener, nil
}

// peerOptions returns the options of the exchange with peers.
func (g *Gateway) peerOptions() peers.Options {
	gatewaySettings := g.settings.Gateway
	// The settings were validated, so that parsing the address can't fail.
	address := netip.MustParseAddrPort(gatewaySettings.Peers)
	return peers.Options{
		Instance: g.settings.Instance, DataCentre: g.settings.DataCentre, Regions: gatewaySettings.Regions(), Address: address, Seeds: seedAddresses(gatewaySettings),
		State: g.state, Directory: g.directory, Follower: g.follower, Ledger: g.forwarder.Ledger(),
		StreamVersions: g.forwarder.StreamVersions(), SeveralLately: g.severalOrigins, Poison: g.forwarder.Poison(),
		Rollouts: g.rollouts, Decode: g.adapters.Decode, Logger: g.logger, Guard: g.guard,
	}
}

// Ready reports whether the instance accepts requests: it has a configuration and
// backend servers and is not stopping. It logs changes.
func (g *Gateway) Ready() bool {
	ready := !g.stopping.Load() && g.state.Current() != nil && len(g.directory.Snapshot().All) > 0 && g.knowsQuarantines()
	g.mu.Lock()
	defer g.mu.Unlock()
	if ready != g.ready {
		g.ready = ready
		event.Log(g.logger, event.ReadinessChanged).Bool("ready", ready).Bool("leaving", g.stopping.Load()).
			Uint64("version", g.state.Version()).Int("servers", len(g.directory.Snapshot().All)).Send()
	}
	return ready
}

// quarantineWait is how long after its start an instance is unready because the store has not answered
// which requests are quarantined.
const quarantineWait = 500 * time.Millisecond

// severalOrigins reports whether streams that clients resume now may have begun at another software version of their service,
// or at another service.
func (g *Gateway) severalOrigins() bool { return g.served.HasSeveral() || g.state.StreamServicesVary() }

// knowsQuarantines reports whether the quarantined requests were read from the store, or can't be had soon.
func (g *Gateway) knowsQuarantines() bool {
	started := g.startedAt.Load()
	return g.quarantines.Asked() || (started != nil && time.Since(*started) >= quarantineWait)
}

// Version returns the version of the in-force configuration, 0 for none.
func (g *Gateway) Version() uint64 { return g.state.Version() }

// Servers returns the number of known backend servers.
func (g *Gateway) Servers() int { return len(g.directory.Snapshot().All) }

// Instances returns the number of known instances, including this one.
func (g *Gateway) Instances() int { return g.peers.Instances() }

// maintenanceInterval is the interval of periodic maintenance.
const maintenanceInterval = 250 * time.Millisecond

// suspensionThreshold is the gap between two rounds of maintenance beyond which
// this process must have been suspended.
const suspensionThreshold = time.Second

// runMaintenance runs the periodic maintenance until ctx ends. It logs a
// suspension of the process and dropped log lines.
func (g *Gateway) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	last, dropped := time.Now(), int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if gap := now.Sub(last); gap > suspensionThreshold {
				event.Log(g.logger, event.ProcessResumed).Dur("gap_ms", gap).Send()
			}
			last = now
			g.follower.Tick(now)
			g.forwarder.Tick(now)
			g.updateStoreGauges(now)
			if total := g.adapters.DroppedLogLines(); total > dropped {
				event.Log(g.logger, event.LogLinesDropped).Int64("lines", total-dropped).Send()
				dropped = total
			}
		}
	}
}
