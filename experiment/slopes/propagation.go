package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/control/configuration"
	"github.com/wisteriahaven/wisteriahaven/control/membership"
	"github.com/wisteriahaven/wisteriahaven/decision/budget"
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/duty"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore/budgeted"
	"github.com/wisteriahaven/wisteriahaven/objectstore/httpstore"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
	"github.com/wisteriahaven/wisteriahaven/transport/peer"
)

// Parameters of the measurement of propagation over sockets.
const (
	propagationChanges = 5
	propagationPause   = 3 * time.Second
	propagationPoll    = 10 * time.Millisecond
	propagationTimeout = 30 * time.Second
	propagationServers = 1000
	platformReads      = 2000
	platformWrites     = 300
)

// propagationCosts are the costs of a change that propagates over sockets.
var propagationCosts = []cost{
	{"worst time until in force everywhere", "s"},
	{"waiting platform calls", "calls"},
}

// propagationFleet is a data centre whose instances fetch the configuration from the platform and
// from each other over real sockets.
type propagationFleet struct {
	platform  *objectapi.Server
	store     *httpstore.Store
	duties    *duty.Group
	services  []*membership.Service
	followers []*configuration.Follower
	servers   []*peer.Server
	clients   []*peer.Client
}

// measurePropagation measures the propagation of changes in a fleet of each size.
func measurePropagation(ctx context.Context, sizes []int, seed uint64) (series, error) {
	result := series{duty: "spreading over sockets", variable: "instances", costs: propagationCosts}
	for _, size := range sizes {
		measured, err := measurePropagationFleet(ctx, size, seed)
		if err != nil {
			return series{}, err
		}
		result.points = append(result.points, measured)
	}
	return result, nil
}

func measurePropagationFleet(ctx context.Context, size int, seed uint64) (point, error) {
	f := &propagationFleet{duties: duty.NewGroup(context.Background(), zerolog.Nop())}
	defer f.stop()
	if err := f.start(size, seed); err != nil {
		return point{}, err
	}
	worst, waiting := 0.0, 0.0
	for change := range propagationChanges + 1 {
		seconds, err := f.measureChange(ctx, change)
		if err != nil {
			return point{}, err
		}
		if change > 0 {
			worst = max(worst, seconds)
		}
		if err := sleep(ctx, propagationPause); err != nil {
			return point{}, err
		}
		if change > 0 {
			waiting = max(waiting, float64(f.platform.Counters().Waiting))
		}
	}
	return point{value: float64(size), costs: []float64{worst, waiting}}, nil
}

func (f *propagationFleet) start(size int, seed uint64) error {
	var err error
	f.platform, err = objectapi.Start(objectapi.Settings{ReadsPerSecond: platformReads, WritesPerSecond: platformWrites})
	if err != nil {
		return err
	}
	f.store = httpstore.New(f.platform.URL())
	var seeds []settings.Peer
	for index := range size {
		if err := f.add(index, seeds, seed); err != nil {
			return err
		}
		if index < seedInstances {
			seeds = append(seeds, f.services[index].View().Self.Peer)
		}
	}
	return nil
}

// add starts one instance and its duties.
func (f *propagationFleet) add(index int, seeds []settings.Peer, seed uint64) error {
	ring, err := exchangeRing()
	if err != nil {
		return err
	}
	self := exchangePeer(index)
	follower := configuration.NewFollower(configuration.Options{
		Instance:   self.Instance,
		DataCentre: self.DataCentre,
		Store:      budgeted.NewStore(f.store, budgeted.NewGate(budget.Config{}, seed+uint64(index))),
		Seed:       seed + uint64(index),
		Logger:     zerolog.Nop(),
	})
	var service *membership.Service
	server, err := peer.Listen("127.0.0.1:0", ring, peer.Handlers{
		Configuration: follower.Reply,
		Members:       func(ctx context.Context) ([]byte, error) { return service.EncodedRecords(ctx) },
	})
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	self.Peers = server.Address()
	service, err = membership.New(membership.Options{
		Config: decision.Config{Self: self, Incarnation: uint64(time.Now().UnixMilli()), Seeds: seeds},
		Listen: "127.0.0.1:0",
		Codec:  gossip.NewCodec(ring),
		Seed:   seed + uint64(index),
		Logger: zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	client := peer.NewClient(ring)
	follower.SetPeers(service, client)
	service.Observe(follower.Observe)
	f.services = append(f.services, service)
	f.followers = append(f.followers, follower)
	f.clients = append(f.clients, client)
	f.duties.Go("membership", service.Run)
	f.duties.Go("configuration", follower.Run)
	f.duties.Go("introductions", membership.NewRecordFetcher(service, client).Run)
	f.duties.Go("peers", server.Serve)
	return nil
}

// measureChange commits a configuration and returns the time in seconds until it is in force on
// every instance. It fails after propagationTimeout.
func (f *propagationFleet) measureChange(ctx context.Context, number int) (float64, error) {
	base, err := configstore.LoadSnapshot(ctx, f.store, nil)
	if err != nil {
		return 0, err
	}
	next := newConfiguration(propagationServers, baseAccounts)
	next.BackendServers[number].Slots = 1
	revision, err := configstore.Commit(ctx, f.store, base.Configuration, next, fmt.Sprintf("change-%d", number))
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	for !f.inForce(revision) {
		if time.Since(begin) > propagationTimeout {
			return 0, fault.New(fault.ConfigurationUnset, "a revision did not come into force on every instance within the timeout")
		}
		if err := sleep(ctx, propagationPoll); err != nil {
			return 0, err
		}
	}
	return time.Since(begin).Seconds(), nil
}

func (f *propagationFleet) inForce(revision uint64) bool {
	for _, follower := range f.followers {
		if current := follower.Current(); current == nil || current.Revision < revision {
			return false
		}
	}
	return true
}

func (f *propagationFleet) stop() {
	f.duties.Stop()
	for _, client := range f.clients {
		client.Close()
	}
	for _, server := range f.servers {
		server.Close()
	}
	for _, service := range f.services {
		_ = service.Close()
	}
	if f.platform != nil {
		f.platform.Stop()
	}
}
