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
	"github.com/wisteriahaven/wisteriahaven/duty"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/forward"
	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

const domain = "gateway"

// Gateway is one running instance.
type Gateway struct {
	settings  settings.Settings
	parts     Adapters
	logger    zerolog.Logger
	metrics   metrics.Registry
	duties    *duty.Group
	state     *discovery.State
	directory *directory.Directory
	follower  *discovery.Follower
	forwarder *forward.Forwarder
	ingress   *ingress.Server
	peers     *peers.Service
	monitor   *monitor
	listeners []net.Listener
	// stopTime is the time, a time.Duration, that a planned stop has.
	stopTime atomic.Int64
	leaving  atomic.Bool
	aborted  sync.Once
	mu       sync.Mutex
	ready    bool
}

// New builds an instance that does not run yet.
func New(s settings.Settings, parts Adapters, logger zerolog.Logger) *Gateway {
	logger = logger.With().Str("instance", s.Instance).Logger()
	g := &Gateway{
		settings:  s,
		parts:     parts,
		logger:    logger,
		metrics:   metrics.NewRegistry(),
		duties:    duty.NewGroup(context.Background(), logger),
		state:     discovery.NewState(),
		directory: directory.New(),
	}
	g.follower = discovery.NewFollower(parts.Feed, g.state, g.directory,
		func() discovery.RelayRole { return g.peers.RelayRole() }, func() { g.peers.Announce() }, logger)
	own := s.Gateway
	g.forwarder = forward.New(forward.Options{
		Protocol:          parts.Protocol,
		State:             g.state,
		Directory:         g.directory,
		Place:             placement.Place{DataCentre: s.DataCentre, Region: s.Region},
		ReloadableOptions: changeable(own),
		Policy:            placement.DefaultPolicy(),
		Group:             func() peers.Group { return g.peers.Group() },
		OnUnreachable:     func(server *directory.Server, down bool) { g.peers.AnnounceFailure(server, down) },
		Logger:            logger,
		Metrics:           g.metrics,
	})
	g.ingress = ingress.NewServer(g.forwarder, clientLimits(own), logger)
	g.stopTime.Store(int64(own.StopTime()))
	g.peers = peers.New(g.peerOptions())
	g.monitor = newMonitor(g)
	return g
}

// Start listens on the instance's addresses and starts its duties.
func (g *Gateway) Start() error {
	own := g.settings.Gateway
	limitHeap(own)
	clients, err := g.listen("clients", own.Clients)
	if err != nil {
		return err
	}
	if err := g.monitor.start(); err != nil {
		return err
	}
	if err := g.peers.Listen(); err != nil {
		return err
	}
	g.duties.Go("digests", g.peers.Run)
	g.duties.Go("fetches", g.peers.RunFetch)
	g.duties.Go("configuration", g.follower.RunConfiguration)
	g.duties.Go("servers", g.follower.RunServers)
	g.duties.Go("housekeeping", g.keepHouse)
	g.duties.Go("clients", func(context.Context) { g.ingress.Serve(clients) })
	event.Log(g.logger, event.ProcessStarted).Str("clients", own.Clients).Str("readiness", own.Readiness).
		Str("metrics", own.Metrics).Str("store", own.Store).Send()
	return nil
}

func (g *Gateway) listen(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, domain, "gateway."+field, err)
	}
	g.listeners = append(g.listeners, listener)
	return listener, nil
}

// peerOptions returns the parts of the exchange with other instances.
func (g *Gateway) peerOptions() peers.Options {
	own := g.settings.Gateway
	// The settings were checked: the addresses can be read.
	address := netip.MustParseAddrPort(own.Peers)
	return peers.Options{
		Instance: g.settings.Instance, DataCentre: g.settings.DataCentre, Address: address, Seeds: seedAddresses(own),
		State: g.state, Directory: g.directory, Follower: g.follower, Ledger: g.forwarder.Ledger(),
		Decode: g.parts.Decode, Logger: g.logger,
	}
}

// Ready reports whether the instance can serve.
func (g *Gateway) Ready() bool {
	ready := !g.leaving.Load() && g.state.Current() != nil && len(g.directory.Snapshot().All) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	if ready != g.ready {
		g.ready = ready
		event.Log(g.logger, event.ReadinessChanged).Bool("ready", ready).Bool("leaving", g.leaving.Load()).
			Uint64("version", g.state.Version()).Int("servers", len(g.directory.Snapshot().All)).Send()
	}
	return ready
}

// Version returns the version of the configuration in force, 0 for none.
func (g *Gateway) Version() uint64 { return g.state.Version() }

// Servers returns the number of known backend servers.
func (g *Gateway) Servers() int { return len(g.directory.Snapshot().All) }

// Instances returns the number of known instances with this one.
func (g *Gateway) Instances() int { return g.peers.Instances() }

// housePeriod is the time between two rounds of housekeeping.
const housePeriod = 250 * time.Millisecond

// pauseLimit is a gap between two rounds after which this process must have
// been suspended.
const pauseLimit = time.Second

// keepHouse does what is due from time to time.
func (g *Gateway) keepHouse(ctx context.Context) {
	ticker := time.NewTicker(housePeriod)
	defer ticker.Stop()
	last, dropped := time.Now(), int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if gap := now.Sub(last); gap > pauseLimit {
				event.Log(g.logger, event.ProcessResumed).Dur("gap_ms", gap).Send()
			}
			last = now
			g.follower.Tick(now)
			g.forwarder.Tick(now)
			if total := g.parts.DroppedLogLines(); total > dropped {
				event.Log(g.logger, event.LogLinesDropped).Int64("lines", total-dropped).Send()
				dropped = total
			}
		}
	}
}
