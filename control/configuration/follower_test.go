package configuration_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/control/configuration"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

const waitLimit = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// store is an in-memory object API.
type store struct {
	objectstore.Store
	mu          sync.Mutex
	version     uint64
	objects     map[string]objectstore.Object
	unavailable bool
	reads       int
}

func newStore() *store { return &store{objects: make(map[string]objectstore.Object)} }

func (s *store) Get(_ context.Context, key string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
		return objectstore.Object{}, fault.New(fault.PlatformUnavailable, "outage")
	}
	object, ok := s.objects[key]
	if !ok {
		return object, fault.New(fault.NotFound, key)
	}
	return object, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, _ objectstore.Condition) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.objects[key] = objectstore.Object{Key: key, Value: value, Version: s.version}
	return s.version, nil
}

func (s *store) Watch(ctx context.Context, prefix string, after uint64) ([]objectstore.Change, error) {
	for ctx.Err() == nil {
		s.mu.Lock()
		object, unavailable := s.objects[prefix], s.unavailable
		s.mu.Unlock()
		if unavailable {
			break
		}
		if object.Version > after {
			return []objectstore.Change{{Object: object}}, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, fault.New(fault.PlatformUnavailable, "outage")
}

func (s *store) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// fleet is a data centre whose followers see each other's revisions.
type fleet struct {
	mu        sync.Mutex
	store     *store
	followers map[string]*configuration.Follower
	revisions map[string]uint64
	tamper    bool
}

// member is one follower's membership and its connection to the others.
type member struct {
	fleet *fleet
	name  string
}

func (m member) SetRevision(revision uint64) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.revisions[m.name] = revision
}

// View returns the other followers with the revisions they announced.
func (m member) View() *membership.Snapshot {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	view := &membership.Snapshot{}
	for name, revision := range m.fleet.revisions {
		if name != m.name {
			peer := settings.Peer{Instance: name, DataCentre: "a", Peers: name}
			view.Members = append(view.Members, membership.Record{Peer: peer, Revision: revision})
		}
	}
	return view.Indexed()
}

func (m member) Configuration(ctx context.Context, address string, revision uint64) (*peerpb.ConfigurationReply, error) {
	m.fleet.mu.Lock()
	source, tamper := m.fleet.followers[address], m.fleet.tamper
	m.fleet.mu.Unlock()
	reply, err := source.Reply(ctx, &peerpb.ConfigurationRequest{Revision: revision})
	if err == nil && tamper {
		for _, chunk := range reply.GetChunks() {
			chunk.Hash[0] ^= 1
		}
	}
	return reply, err
}

func (f *fleet) start(t *testing.T, name string) *configuration.Follower {
	t.Helper()
	access := member{fleet: f, name: name}
	follower := configuration.NewFollower(configuration.Options{
		Instance: name, DataCentre: "a", Store: f.store, Members: access, Peers: access, Seed: 1, Logger: zerolog.Nop(),
	})
	f.mu.Lock()
	f.followers[name] = follower
	f.revisions[name] = 0
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return follower
}

func startFleet(t *testing.T, count int) *fleet {
	f := &fleet{store: newStore(), followers: make(map[string]*configuration.Follower), revisions: make(map[string]uint64)}
	for index := range count {
		f.start(t, fmt.Sprintf("entry-%d", index))
	}
	return f
}

// commit writes a configuration with the given number of backend servers.
func (f *fleet) commit(t *testing.T, servers int) uint64 {
	t.Helper()
	next := &estate.Configuration{Regions: []estate.Region{{Name: "r"}}}
	for index := range servers {
		next.BackendServers = append(next.BackendServers, estate.BackendServer{Name: fmt.Sprintf("engine-%d", index), Slots: 4})
	}
	base, err := configstore.LoadSnapshot(t.Context(), f.store, nil)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := configstore.Commit(t.Context(), f.store, base.Configuration, next, fmt.Sprintf("command-%d", servers))
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func (f *fleet) await(t *testing.T, revision uint64) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !f.inForce(revision) {
		if time.Now().After(deadline) {
			t.Fatalf("revision %d is not in force everywhere", revision)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) inForce(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, follower := range f.followers {
		if current := follower.Current(); current == nil || current.Revision != revision {
			return false
		}
	}
	return true
}

func TestInstancesExchangeOnlyChangedChunks(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 8)
	f.await(t, f.commit(t, 100))
	before := f.replyBytes()
	f.await(t, f.commit(t, 101))
	is.Equal(len(f.followers["entry-7"].Current().BackendServers), 101)
	whole := f.followers["entry-0"].Status().Bytes
	is.True(f.replyBytes()-before < uint64(whole)) // all replies to the eight instances are smaller than one copy
}

func (f *fleet) replyBytes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := uint64(0)
	for _, follower := range f.followers {
		total += follower.Status().ReplyBytes
	}
	return total
}

func TestNewInstanceFetchesFromPeersWhilePlatformIsUnavailable(t *testing.T) {
	f := startFleet(t, 3)
	revision := f.commit(t, 10)
	f.await(t, revision)
	f.store.setUnavailable(true)
	f.start(t, "entry-new")
	f.await(t, revision)
}

// TestDamagedCopyIsNotPutInForce checks that a chunk that differs from its hash fails the fetch.
func TestDamagedCopyIsNotPutInForce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	revision := f.commit(t, 10)
	f.await(t, revision)
	f.store.setUnavailable(true)
	f.mu.Lock()
	f.tamper = true
	f.mu.Unlock()
	late := f.start(t, "entry-new")
	deadline := time.Now().Add(waitLimit)
	for late.Status().Decisions.PeerFailures == 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(late.Status().Decisions.PeerFailures > 0)
	is.True(late.Current() == nil)
	f.mu.Lock()
	f.tamper = false
	f.mu.Unlock()
	f.await(t, revision)
}

// TestRemovedChunksAreDropped commits a revision that empties whole buckets. Unless replies name
// the removed buckets, followers keep their servers.
func TestRemovedChunksAreDropped(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 6)
	f.await(t, f.commit(t, 60))
	f.await(t, f.commit(t, 1))
	for _, follower := range f.followers {
		is.Equal(len(follower.Current().BackendServers), 1)
	}
}
