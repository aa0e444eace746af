package slopes

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/control/membership"
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/duty"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

// Parameters of the exchange measurement.
const (
	exchangeDataCentre = "dc-01"
	exchangeRegion     = "region-1"
	// joinTimeout bounds the time until every instance sees all others as live.
	joinTimeout   = 120 * time.Second
	demandPeriod  = time.Second
	seedInstances = 3
	// firstPeersPort is the port of the first instance's address for peers; each instance has the
	// next higher one. Nothing listens on these ports.
	firstPeersPort = 20_000
	// changePeriod is the time between two configuration changes, for 6,100 changes per day.
	changePeriod = 14 * time.Second
)

// exchangeCosts are the costs of the exchange duty at one node.
var exchangeCosts = []cost{
	{"bytes both ways", "B/s"},
	{"processor time", "ms/s"},
	{"memory", "KB"},
}

// exchangeFleet runs the exchange duties of several instances over UDP on loopback.
type exchangeFleet struct {
	services []*membership.Service
	duties   *duty.Group
}

// measureExchange runs a fleet of each size and measures the mean cost of a node.
func measureExchange(ctx context.Context, sizes []int, span time.Duration, seed uint64) (series, error) {
	result := series{duty: "exchange", variable: "instances", costs: exchangeCosts}
	for _, size := range sizes {
		measured, err := measureFleet(ctx, size, span, seed)
		if err != nil {
			return series{}, err
		}
		result.points = append(result.points, measured)
	}
	return result, nil
}

func measureFleet(ctx context.Context, size int, span time.Duration, seed uint64) (point, error) {
	heap := heapBytes()
	fleet, err := startExchange(size, seed)
	defer fleet.stop()
	if err != nil {
		return point{}, err
	}
	if err := fleet.join(ctx); err != nil {
		return point{}, err
	}
	before, bytes := readUsage(), fleet.bytes()
	if err := fleet.runLoad(ctx, span); err != nil {
		return point{}, err
	}
	elapsed, processor := readUsage().since(before)
	perNode := float64(size) * elapsed.Seconds()
	return point{value: float64(size), costs: []float64{
		(fleet.bytes() - bytes) / perNode,
		float64(processor.Microseconds()) / 1000 / perNode,
		(heapBytes() - heap) / 1024 / float64(size),
	}}, nil
}

func startExchange(size int, seed uint64) (*exchangeFleet, error) {
	fleet := &exchangeFleet{duties: duty.NewGroup(context.Background(), zerolog.Nop())}
	ring, err := exchangeRing()
	if err != nil {
		return fleet, err
	}
	codec := gossip.NewCodec(ring)
	var seeds []settings.Peer
	for index := range size {
		service, err := membership.New(membership.Options{
			Config: decision.Config{Self: exchangePeer(index), Incarnation: uint64(time.Now().UnixMilli()), Seeds: seeds},
			Listen: "127.0.0.1:0",
			Codec:  codec,
			Seed:   seed + uint64(index),
			Logger: zerolog.Nop(),
		})
		if err != nil {
			return fleet, err
		}
		if index < seedInstances {
			seeds = append(seeds, service.View().Self.Peer)
		}
		fleet.services = append(fleet.services, service)
		fleet.duties.Go("membership", service.Run)
	}
	for _, service := range fleet.services {
		fleet.duties.Go("introductions", membership.NewRecordFetcher(service, fleet).Run)
	}
	return fleet, nil
}

// Members implements membership.Introductions by a call to the instance that has the address.
func (f *exchangeFleet) Members(ctx context.Context, address string) ([]byte, error) {
	for _, service := range f.services {
		if service.View().Self.Peer.Peers == address {
			return service.EncodedRecords(ctx)
		}
	}
	return nil, fault.New(fault.PeerUnreachable, "no instance has this address")
}

// exchangeRing returns the key ring that all instances share.
func exchangeRing() (*peerauth.KeyRing, error) {
	return peerauth.NewKeyRing(settings.KeyRing{
		Active: "k", Keys: []settings.Key{{ID: "k", Secret: strings.Repeat("5a", 32)}},
	})
}

func exchangePeer(index int) settings.Peer {
	return settings.Peer{
		Instance:   fmt.Sprintf("%s-entry-%03d", exchangeDataCentre, index),
		DataCentre: exchangeDataCentre,
		Region:     exchangeRegion,
		Peers:      fmt.Sprintf("127.0.0.1:%d", firstPeersPort+index),
		Callers:    "127.0.0.1:7403",
		Operators:  "127.0.0.1:7404",
	}
}

// join gives every instance the list of all instances, as the platform would, and waits until
// each sees all of them as live.
func (f *exchangeFleet) join(ctx context.Context) error {
	var listed []settings.Peer
	for _, service := range f.services {
		listed = append(listed, service.View().Self.Peer)
	}
	for _, service := range f.services {
		service.SetListed(listed)
	}
	deadline := time.Now().Add(joinTimeout)
	for !f.joined() {
		if time.Now().After(deadline) {
			return fault.New(fault.PeerUnreachable, "not every instance saw all others within the timeout")
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (f *exchangeFleet) joined() bool {
	for _, service := range f.services {
		if len(service.View().Live(exchangeDataCentre)) != len(f.services) {
			return false
		}
	}
	return true
}

// runLoad runs the duties for a span, while the demand and the configuration revision of every
// instance change.
func (f *exchangeFleet) runLoad(ctx context.Context, span time.Duration) error {
	end := time.Now().Add(span)
	changed := time.Time{}
	for round := uint64(1); time.Now().Before(end); round++ {
		for index, service := range f.services {
			service.SetDemand(newDemand(index, round))
		}
		if time.Since(changed) >= changePeriod {
			changed = time.Now()
			for _, service := range f.services {
				service.SetRevision(round)
			}
		}
		if err := sleep(ctx, demandPeriod); err != nil {
			return err
		}
	}
	return nil
}

func newDemand(index int, round uint64) []decision.Demand {
	demand := make([]decision.Demand, decision.DefaultMaxDemandEntries)
	for i := range demand {
		account := decision.AccountIDOf(fmt.Sprintf("account-%d", (index*7+i)%880))
		demand[i] = decision.Demand{Account: account, Requests: uint32(60 + round%10), Tokens: 300_000}
	}
	return demand
}

// bytes returns the bytes of all datagrams sent and received, datagram headers included.
func (f *exchangeFleet) bytes() float64 {
	total := uint64(0)
	for _, service := range f.services {
		counted := service.Status().Datagrams
		total += counted.SentBytes + counted.ReceivedBytes
		total += (counted.Sent + counted.Received) * decision.DatagramHeaderBytes
	}
	return float64(total)
}

func (f *exchangeFleet) stop() {
	f.duties.Stop()
	for _, service := range f.services {
		_ = service.Close()
	}
}

// sleep sleeps for a span; it returns an error when the context ends first.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return fault.Wrap(fault.Internal, "slopes", "interrupted", ctx.Err())
	case <-time.After(span):
		return nil
	}
}
