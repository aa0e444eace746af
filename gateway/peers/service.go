package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/ring"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

const (
	// period is the time between two looks at what others have to know.
	period = 200 * time.Millisecond
	// nearRefresh and farRefresh are the times after which a digest is sent
	// though nothing changed, within and between data centres.
	nearRefresh = time.Second
	farRefresh  = 3 * time.Second
	// farSpacing is the least time between two digests to another data centre,
	// whose bytes have a price.
	farSpacing = 600 * time.Millisecond
	// lostSpacing gathers lost servers for one digest: a lost data centre takes
	// many at once.
	lostSpacing = 15 * time.Millisecond
	// namedMembers is the number of members in a digest.
	namedMembers = 6
	// farMembers bounds the members of other data centres that get a digest
	// without loads in a round.
	farMembers = 4
	// relayRefresh is nearRefresh of a relay, whose silence has to be noticed
	// soon.
	relayRefresh = 400 * time.Millisecond
	// storeHead is how long the store has the first try at telling a relay of a
	// change that another instance knows.
	storeHead = 400 * time.Millisecond
	// lostCapacity bounds the lost servers that wait for a digest.
	lostCapacity = 128
)

// Service exchanges digests.
type Service struct {
	options     Options
	transport   *datagram.Transport
	incarnation uint64
	lost        *ring.Ring[FailedServer]
	client      *fasthttp.Client
	mu          sync.Mutex
	table       *Table
	sequence    uint64
	leaving     bool
	// wake is signalled when another instance knows more.
	wake chan struct{}
	// announced is what the last digests of a relay said.
	announced LocalState
}

// New returns a service that does not run yet.
func New(options Options) *Service {
	return &Service{
		options:     options,
		incarnation: rand.Uint64(),
		lost:        ring.New[FailedServer]("lost servers", lostCapacity),
		client: &fasthttp.Client{
			ReadTimeout: fetchTimeout, WriteTimeout: fetchTimeout,
			Dial: dial, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		},
		wake:  make(chan struct{}, 1),
		table: NewTable(options.Instance, options.Address.Addr(), options.Seeds),
	}
}

// AddSeeds greets addresses of other instances that are not known yet.
func (s *Service) AddSeeds(seeds []netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.AddCandidates(s.options.Address.Addr(), seeds)
}

// Listen opens the UDP address.
func (s *Service) Listen() error {
	transport, err := datagram.Listen(s.options.Address.String(), s.receive)
	if err != nil {
		return err
	}
	s.transport = transport
	return nil
}

// Instances returns the number of known instances with this one.
func (s *Service) Instances() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.table.members) + 1
}

// Group returns the place of this instance among those of its data centre.
func (s *Service) Group() Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Group(s.options.DataCentre)
}

// Leave tells the others that this instance stops.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
}

// Lost tells the others of a server that can't be reached. It never blocks: when
// the ring is full, the others hear of enough lost servers already.
func (s *Service) AnnounceFailure(server *directory.Server, down bool) {
	s.lost.Offer(FailedServer{Server: server.ID, DataCentre: server.DataCentre, Down: down})
}

// Run sends digests until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.lost.Items():
			time.Sleep(lostSpacing)
			s.sendLost(first)
		case now := <-ticker.C:
			s.round(now)
		}
	}
}

// sendLost tells members at once; they tell nobody, others that lost the same do.
func (s *Service) sendLost(first FailedServer) {
	gathered := []FailedServer{first}
	for len(s.lost.Items()) > 0 {
		gathered = append(gathered, <-s.lost.Items())
	}
	s.mu.Lock()
	members := some(s.table.Members(), s.options.DataCentre, lostNear, lostFar, func(*member) bool { return false })
	digest := s.digest()
	s.mu.Unlock()
	digest.FailedServers = gathered
	payload := Encode(&digest)
	for _, known := range members {
		s.send(known.address, payload)
	}
}

// digest returns a digest without loads; mu is held.
func (s *Service) digest() Digest {
	s.sequence++
	own := s.own()
	return Digest{
		Instance: s.options.Instance, DataCentre: s.options.DataCentre,
		Incarnation: s.incarnation, Sequence: s.sequence,
		Version: own.Version, Revision: own.Revision, Servers: own.Servers, Relay: own.Relay,
		Leaving: s.leaving,
	}
}

// own returns what this instance knows.
func (s *Service) own() LocalState {
	return LocalState{
		DataCentre: s.options.DataCentre,
		Version:    s.options.State.Version(), Revision: s.options.Directory.Revision(),
		Servers: s.options.Directory.Snapshot().Fingerprint, Relay: s.options.Follower.Following(),
	}
}

// Announce tells others at once when this one learned something from the store: all
// of its data centre, the relays of others and some more, so that no instance
// depends on the relays of its own.
func (s *Service) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.own()
	if !own.Relay || own == s.announced {
		return
	}
	s.announced = own
	digest := s.digest()
	payload := Encode(&digest)
	told := some(s.table.Members(), s.options.DataCentre, 0, announcedFar, func(known *member) bool {
		return known.relay || known.dataCentre == s.options.DataCentre
	})
	for _, known := range told {
		if known.version < own.Version || known.servers != own.Servers {
			s.send(known.address, payload)
		}
	}
}

// Duty returns whether this instance has to follow the object store.
func (s *Service) RelayRole() discovery.RelayRole {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return discovery.Primary
	}
	return s.table.RelayRole(time.Now(), s.options.DataCentre)
}

func (s *Service) send(address netip.Addr, payload []byte) {
	s.sendBy(s.transport, address, payload)
}

func (s *Service) sendBy(transport *datagram.Transport, address netip.Addr, payload []byte) {
	transport.Send(netip.AddrPortFrom(address, s.options.Address.Port()), payload)
}
