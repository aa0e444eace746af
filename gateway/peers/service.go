package peers

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/ring"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	// roundPeriod is the time between two rounds of digests.
	roundPeriod = 200 * time.Millisecond
	// localRefresh and remoteRefresh are the times after which an unchanged digest is sent again,
	// within the data centre and to remote ones.
	localRefresh  = time.Second
	remoteRefresh = 3 * time.Second
	// remoteSpacing is the minimum time between two digests to a remote peer, because
	// traffic between data centres is charged by the byte.
	remoteSpacing = 600 * time.Millisecond
	// failureGatherTime is the delay in which failed servers are gathered for one digest:
	// when a data centre fails, many of its servers fail at once.
	failureGatherTime = 15 * time.Millisecond
	// addressesPerDigest is the number of peer addresses in a digest.
	addressesPerDigest = 6
	// maxIdleRemoteDigests is the maximum number of digests without loads to remote peers in a
	// round.
	maxIdleRemoteDigests = 4
	// relayRefresh replaces localRefresh on a relay, whose failure has to be detected soon.
	relayRefresh = 400 * time.Millisecond
	// storeHeadStart is how long a relay waits for a configuration from the store before it
	// reads it from a peer.
	storeHeadStart = 400 * time.Millisecond
	// rateDigestSpacing is the mean number of digests to peers of the data centre of which one
	// holds the rates of generations: these change slowly.
	rateDigestSpacing = 6
	// failureQueueCapacity is the maximum number of failed servers queued for a digest.
	failureQueueCapacity = 128
)

// Service exchanges digests with peers, and reads configurations and servers from them.
type Service struct {
	options       Options
	transport     transport
	incarnation   uint64
	failedServers *ring.Ring[FailedServer]
	client        *fasthttp.Client
	mu            sync.Mutex
	table         *Table
	sequence      uint64
	leaving       bool
	// configurationFetches and serverFetches count the reads from peers that run.
	configurationFetches fetches
	serverFetches        fetches
	// wake is signalled when a digest shows that a peer has newer state.
	wake chan struct{}
	// poisonNews is signalled when there are news about requests that crash servers.
	poisonNews chan struct{}
	// cutOff is what this instance states about itself. cutOffNews is signalled when it changes.
	cutOff     CutOff
	cutOffNews chan struct{}
	// rolloutNews is signalled when orders have changed.
	rolloutNews chan struct{}
	// cutOffSentAt is when a digest was last sent because of a change.
	cutOffSentAt time.Time
	// regions is the region of each data centre.
	regions map[string]string
	// rejections holds servers whose rejections peers are told at once.
	rejections chan *directory.Server
	// lastAnnounced is the state that Announce sent last.
	lastAnnounced LocalState
	// leavingServers are announced in digests, oldest first.
	leavingServers []announcedLeaving
	// recentRecords are the newest records of streams that began here, for peers that restart.
	recentRecords []streamversion.Record
	// severalUntil is the time until which records are sent to peers.
	severalUntil time.Time
	// completeListAt is when a complete list of servers was last fetched, namesAfter when the names of all may be again.
	completeListAt time.Time
	namesAfter     time.Time
	// readServers reads servers from a peer.
	readServers func(source fetchSource, after revision.Revision, naming bool) (directory.Export, error)
}

// transport sends datagrams to peers.
type transport interface {
	Send(to netip.AddrPort, payload []byte)
	Close() error
}

// New returns a service that neither listens nor runs yet.
func New(options Options) *Service {
	s := &Service{
		options:       options,
		incarnation:   rand.Uint64(),
		failedServers: ring.New[FailedServer]("lost servers", failureQueueCapacity),
		client: &fasthttp.Client{
			ReadTimeout: fetchTimeout, WriteTimeout: fetchTimeout, MaxResponseBodySize: maxFetchedBytes,
			Dial: http1.StrictDial(dial), MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		},
		wake:       make(chan struct{}, 1),
		poisonNews: make(chan struct{}, 1),
		cutOffNews: make(chan struct{}, 1), rolloutNews: make(chan struct{}, 1),
		regions:    maps.Clone(options.Regions),
		rejections: make(chan *directory.Server, rejectionQueueCapacity),
		table:      NewTable(options.Instance, options.Address.Addr(), options.Seeds),
	}
	s.readServers = s.getServers
	return s
}

// AddSeeds adds addresses of possible peers; unknown ones are probed.
func (s *Service) AddSeeds(seeds []netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.AddCandidates(s.options.Address.Addr(), seeds)
}

// Listen opens the UDP socket and starts to receive digests.
func (s *Service) Listen() error {
	transport, err := datagram.Listen(s.options.Address.String(), s.receive)
	if err != nil {
		return err
	}
	s.transport = transport
	return nil
}

// Close stops receiving digests. It returns an error if the transport does not stop in time.
func (s *Service) Close() error {
	if s.transport == nil {
		return nil
	}
	return s.transport.Close()
}

// Instances returns the number of known instances, including this one.
func (s *Service) Instances() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.table.peers) + 1
}

// Group returns the rank of this instance among those of its data centre.
func (s *Service) Group() Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Group(s.options.DataCentre)
}

// Leave marks this instance as leaving in all further digests.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
}

// AnnounceFailure queues a server that can't be reached for a digest to peers; down says that
// no process listened at its address. It never blocks: while the queue is full, the
// failure is dropped, because peers receive enough failures already.
func (s *Service) AnnounceFailure(server *directory.Server, down bool) {
	s.failedServers.Offer(FailedServer{Server: server.ID, DataCentre: server.DataCentre, Down: down})
}

// Run sends digests until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(roundPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.failedServers.Items():
			time.Sleep(failureGatherTime)
			s.sendFailedServers(first)
		case <-s.poisonNews:
			time.Sleep(failureGatherTime)
			s.sendPoisonNews()
		case <-s.cutOffNews:
			s.sendCutOff()
		case <-s.rolloutNews:
			s.sendRollouts()
		case first := <-s.rejections:
			time.Sleep(failureGatherTime)
			s.sendRejections(first)
		case now := <-ticker.C:
			s.round(now)
		}
	}
}

// sendFailedServers sends the queued server failures to a sample of peers at once. Receivers
// don't forward them: other instances that detect the same failure send it themselves.
func (s *Service) sendFailedServers(first FailedServer) {
	failed := []FailedServer{first}
	for len(s.failedServers.Items()) > 0 {
		failed = append(failed, <-s.failedServers.Items())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendToSample(failed, maxLocalFailurePeers, maxRemoteFailurePeers)
}

// sendToSample sends a digest with failed servers, if any, to a sample of at most local peers of the data centre and
// remote others at once; mu is held.
func (s *Service) sendToSample(failed []FailedServer, local, remote int) {
	digest := s.digest()
	digest.FailedServers = failed
	payload := Encode(&digest)
	for _, p := range samplePeers(s.table.Members(), s.options.DataCentre, local, remote, func(*peer) bool { return false }) {
		s.send(p.address, payload)
	}
}

// digest returns a new digest without loads and increments the sequence; mu is held.
func (s *Service) digest() Digest {
	s.sequence++
	own, now := s.localState(), time.Now()
	limits, rejected := s.options.Ledger.Rejections()
	return Digest{
		Instance: s.options.Instance, DataCentre: s.options.DataCentre,
		Incarnation: s.incarnation, Sequence: s.sequence,
		Version: own.Version, Revision: own.Revision, Servers: own.Servers, AsOf: own.AsOf, Relay: own.Relay,
		StoreUnavailable: s.options.Follower.StoreUnavailable(),
		NamesQuestion:    true, KeysRequired: s.options.State.KeysRequired(), Leaving: s.leaving, CutOff: s.cutOff, LeavingServers: s.currentLeaving(now),
		Rollouts: s.options.Rollouts.News(), RejectionLimits: limits, Rejections: rejectionReports(now, rejected),
		RequestRates: requestRateReports(now, s.options.Ledger.RequestRates()),
		Poison:       reportsOf(now, s.options.Poison.News(rand.IntN(completeNewsSpacing) == 0)),
	}
}

// localState returns the versions of this instance's state.
func (s *Service) localState() LocalState {
	return LocalState{
		DataCentre: s.options.DataCentre,
		Version:    s.options.State.Version(), Revision: s.options.Directory.Revision(),
		Servers: s.options.Directory.Snapshot().Fingerprint, AsOf: s.options.Directory.AsOf(), Relay: s.options.Follower.Following(),
	}
}

// Announce sends a digest at once when a relay's state has changed: to all peers of its data
// centre, to remote relays, and to a sample of other remote peers, so that no instance depends
// on the relays of its own data centre alone. Peers that have the same state already get none.
func (s *Service) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.localState()
	own.AsOf = 0 // it changes with each call to the store
	if !own.Relay || own == s.lastAnnounced {
		return
	}
	s.lastAnnounced = own
	digest := s.digest()
	payload := Encode(&digest)
	receivers := samplePeers(s.table.Members(), s.options.DataCentre, 0, maxRemoteAnnouncePeers, func(p *peer) bool {
		return p.relay || p.dataCentre == s.options.DataCentre
	})
	for _, p := range receivers {
		if p.version < own.Version || p.servers != own.Servers {
			s.send(p.address, payload)
		}
	}
}

// RelayRole returns whether and how this instance has to follow the object store. A leaving
// instance always follows it.
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

func (s *Service) sendBy(by transport, address netip.Addr, payload []byte) {
	by.Send(netip.AddrPortFrom(address, s.options.Address.Port()), payload)
}
