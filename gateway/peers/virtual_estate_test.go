package peers

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

const (
	// drainTimeout is the users' bound: how long after the store accepted that a server leaves requests may reach it.
	drainTimeout = 3 * time.Second
	// contactTime is how long an instance must have run, and the store have been available, for the bound to hold.
	contactTime = 4 * time.Second
	// lapsedEntryTime is how long after an outage the entries that expired in it may be missing.
	lapsedEntryTime = 2 * time.Second
	// startTime is how long an instance takes from its start to its first call.
	startTime = 200 * time.Millisecond
	// storeLatency and peerLatency are the times for one message.
	storeLatency = 4 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
	// virtualWatchWait is how long the store holds a watch without a change.
	virtualWatchWait = 1500 * time.Millisecond
)

// firstRevision is in an era, as of a store that states it.
const firstRevision = revision.Revision(1<<48 | 10)

var errVirtualStoreAway = fault.New(fault.PlatformUnavailable, "away")

// storedChange is a change in the history of a virtualStore; server is nil for a removal.
type storedChange struct {
	at     revision.Revision
	when   time.Time
	id     string
	server *directory.Server
}

// timeline collects what happens in an estate, for the output of a failed test.
type timeline struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
}

func (l *timeline) add(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf("%8.3f ", time.Since(l.begun).Seconds())+fmt.Sprintf(format, values...))
}

// virtualStore is a store with the entries of backend servers.
type virtualStore struct {
	timeline *timeline
	mu       sync.Mutex
	revision revision.Revision
	history  []storedChange
	changed  chan struct{}
	away     bool
	// cutOff holds the data centres that don't reach the store.
	cutOff map[string]bool
	// returnedAt is when an outage last ended.
	returnedAt time.Time
	// staleness is the age of lists that need not be fresh.
	staleness time.Duration
	// leftAt holds when servers drained or were removed.
	leftAt map[string]time.Time
}

func newVirtualStore() *virtualStore {
	return &virtualStore{timeline: &timeline{begun: time.Now()}, revision: firstRevision, changed: make(chan struct{}), cutOff: make(map[string]bool), leftAt: make(map[string]time.Time)}
}

func (s *virtualStore) record(id string, server *directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if server != nil {
		server.ID, server.Service, server.Address, server.Revision = id, "calls", "address of "+id, s.revision
	}
	if server == nil || server.Draining {
		if _, left := s.leftAt[id]; !left {
			s.leftAt[id] = time.Now()
		}
	} else {
		delete(s.leftAt, id)
	}
	s.timeline.add("store: %v %s: listed %v, draining %v", s.revision, id, server != nil, server != nil && server.Draining)
	s.history = append(s.history, storedChange{s.revision, time.Now(), id, server})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *virtualStore) put(id string)    { s.record(id, &directory.Server{}) }
func (s *virtualStore) drain(id string)  { s.record(id, &directory.Server{Draining: true}) }
func (s *virtualStore) remove(id string) { s.record(id, nil) }

// writeElsewhere raises the revision by a change of an object of another kind.
func (s *virtualStore) writeElsewhere() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

// lapse removes the entry of a server that runs.
func (s *virtualStore) lapse(id string) {
	s.remove(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leftAt, id)
}

func (s *virtualStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline.add("store: away %v", away)
	s.away = away
	if !away {
		s.returnedAt = time.Now()
	}
}

// cut cuts a data centre off.
func (s *virtualStore) cut(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[dataCentre] = true
}

// setStaleness sets the age of lists that need not be fresh.
func (s *virtualStore) setStaleness(staleness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleness = staleness
}

func (s *virtualStore) unavailable(dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away || s.cutOff[dataCentre]
}

// listedAt returns the entries at a time and the revision then.
func (s *virtualStore) listedAt(when time.Time) (map[string]*directory.Server, revision.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, asOf := make(map[string]*directory.Server), s.revision
	for _, change := range s.history {
		if change.when.After(when) {
			return listed, change.at - 1
		}
		if change.server == nil {
			delete(listed, change.id)
		} else {
			listed[change.id] = change.server
		}
	}
	return listed, asOf
}

// current returns the entries that the store lists.
func (s *virtualStore) current() map[string]*directory.Server {
	listed, _ := s.listedAt(time.Now())
	return listed
}

// virtualFeed reads a virtualStore for the instances of a data centre.
type virtualFeed struct {
	discovery.Feed
	store      *virtualStore
	dataCentre string
}

func (f virtualFeed) Servers(_ context.Context, fresh bool) ([]discovery.ServerChange, revision.Revision, error) {
	time.Sleep(storeLatency)
	if f.store.unavailable(f.dataCentre) {
		return nil, 0, errVirtualStoreAway
	}
	when := time.Now()
	if !fresh {
		f.store.mu.Lock()
		when = when.Add(-f.store.staleness)
		f.store.mu.Unlock()
	}
	listed, asOf := f.store.listedAt(when)
	var changes []discovery.ServerChange
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		changes = append(changes, serverChange(storedChange{at: listed[id].Revision, id: id, server: listed[id]}))
	}
	return changes, asOf, nil
}

func (f virtualFeed) WatchServers(ctx context.Context, after revision.Revision) ([]discovery.ServerChange, revision.Revision, error) {
	time.Sleep(storeLatency)
	end := time.After(virtualWatchWait)
	for {
		f.store.mu.Lock()
		var changes []discovery.ServerChange
		for _, change := range f.store.history {
			if change.at > after {
				changes = append(changes, serverChange(change))
			}
		}
		asOf, changed := f.store.revision, f.store.changed
		f.store.mu.Unlock()
		if f.store.unavailable(f.dataCentre) {
			return nil, 0, errVirtualStoreAway
		}
		if len(changes) > 0 {
			return changes, asOf, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, asOf, nil
		case <-ctx.Done():
			return nil, 0, errVirtualStoreAway
		}
	}
}

func (f virtualFeed) Configuration(context.Context) (*discovery.Configuration, revision.Revision, error) {
	time.Sleep(storeLatency)
	if f.store.unavailable(f.dataCentre) {
		return nil, 0, errVirtualStoreAway
	}
	return nil, firstRevision, nil
}

func (f virtualFeed) WatchConfiguration(ctx context.Context, after revision.Revision) (*discovery.Configuration, revision.Revision, error) {
	select {
	case <-time.After(virtualWatchWait):
	case <-ctx.Done():
	}
	if f.store.unavailable(f.dataCentre) {
		return nil, 0, errVirtualStoreAway
	}
	return nil, after, nil
}

// serverChange returns a change with an entry of its own.
func serverChange(change storedChange) discovery.ServerChange {
	made := discovery.ServerChange{ID: change.id, Revision: change.at}
	if change.server != nil {
		copied := *change.server
		made.Server = &copied
	}
	return made
}

// virtualEstate runs a store and instances in virtual time.
type virtualEstate struct {
	t     *testing.T
	store *virtualStore
	mu    sync.Mutex
	// running holds the instances that run, by address.
	running map[netip.Addr]*virtualInstance
	// apart reports whether two instances can't reach each other; nil for never.
	apart func(a, b *virtualInstance) bool
	// older reports whether an instance sends as an older build; nil for none.
	older func(i *virtualInstance) bool
	// sentBytes counts what peers sent. longestUse is the longest time for which an instance used a server that had left.
	sentBytes  int
	longestUse time.Duration
	ended      chan struct{}
}

// virtualInstance is the state of a running instance.
type virtualInstance struct {
	number     int
	dataCentre string
	address    netip.Addr
	startedAt  time.Time
	directory  *directory.Directory
	follower   *discovery.Follower
	service    *Service
	end        context.CancelFunc
}

// virtualTransport sends the datagrams of an instance.
type virtualTransport struct {
	estate *virtualEstate
	from   *virtualInstance
}

func (t virtualTransport) Close() error { return nil }

func (t virtualTransport) Send(to netip.AddrPort, payload []byte) {
	go func() {
		time.Sleep(peerLatency)
		receiver := t.estate.find(t.from, to.Addr())
		if receiver == nil {
			return
		}
		t.estate.countSent(len(payload))
		if t.estate.isOlder(t.from) {
			payload = olderDigest(payload)
		}
		receiver.service.handleDigest(receiver.service.transport, payload, netip.AddrPortFrom(t.from.address, 1))
	}()
}

// runVirtualEstate runs a test over an estate with instances from 0 on, of which some are in another data centre than the first.
func runVirtualEstate(t *testing.T, dataCentres []string, test func(e *virtualEstate)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := &virtualEstate{t: t, store: newVirtualStore(), running: make(map[netip.Addr]*virtualInstance), ended: make(chan struct{})}
		for n := range 4 {
			e.store.put(fmt.Sprint("w-", n))
		}
		for n, dataCentre := range dataCentres {
			e.start(n, dataCentre)
		}
		defer e.close()
		defer func() {
			if t.Failed() {
				t.Log(strings.Join(e.store.timeline.lines, "\n"))
			}
		}()
		test(e)
	})
}

// close ends all instances, also those that are about to start, and lets their goroutines end.
func (e *virtualEstate) close() {
	close(e.ended)
	for range 50 {
		for _, i := range e.instances() {
			e.kill(i)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// start starts an instance. Its seeds are all addresses of the estate.
func (e *virtualEstate) start(number int, dataCentre string) *virtualInstance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &virtualInstance{number: number, dataCentre: dataCentre, address: addressOf(number + 1), startedAt: time.Now(), directory: directory.New(), end: cancel}
	state := discovery.NewState()
	i.follower = discovery.NewFollower(virtualFeed{store: e.store, dataCentre: dataCentre}, state, i.directory, func() discovery.RelayRole { return i.service.RelayRole() },
		func() { i.service.Announce() }, zerolog.Nop())
	var seeds []netip.Addr
	for n := range 24 {
		seeds = append(seeds, addressOf(n+1))
	}
	i.service = New(Options{
		Instance: fmt.Sprint("instance-", number), DataCentre: dataCentre, Address: netip.AddrPortFrom(i.address, 1), Seeds: seeds, State: state, Directory: i.directory,
		Follower: i.follower, Ledger: discardingLedger{}, Poison: emptyPoisonTable{}, Logger: zerolog.Nop(),
	})
	i.service.transport = virtualTransport{e, i}
	i.service.readServers = func(source fetchSource, after revision.Revision, naming bool) (directory.Export, error) {
		return e.read(i, source.address, after, naming)
	}
	go func() {
		time.Sleep(startTime)
		if ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		e.running[i.address] = i
		e.mu.Unlock()
		e.store.timeline.add("instance %d starts", number)
		go i.service.Run(ctx)
		go i.service.RunFetch(ctx)
		go i.follower.RunServers(ctx)
		go i.follower.RunConfiguration(ctx)
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			i.follower.Tick(time.Now())
		}
	}()
	return i
}

// kill ends an instance at once.
func (e *virtualEstate) kill(i *virtualInstance) {
	e.store.timeline.add("instance %d ends", i.number)
	i.end()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[i.address] == i {
		delete(e.running, i.address)
	}
}

// restart kills instances and starts them again after a time.
func (e *virtualEstate) restart(killed []*virtualInstance, down time.Duration) {
	for _, i := range killed {
		e.kill(i)
	}
	time.Sleep(down)
	for _, i := range killed {
		e.start(i.number, i.dataCentre)
	}
}

// find returns the running instance at an address, nil for none that another one reaches.
func (e *virtualEstate) find(from *virtualInstance, to netip.Addr) *virtualInstance {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := e.running[to]
	if found == nil || e.running[from.address] != from || e.apart != nil && e.apart(from, found) {
		return nil
	}
	return found
}

// read reads servers from an instance, as over HTTP.
func (e *virtualEstate) read(from *virtualInstance, to netip.Addr, after revision.Revision, naming bool) (export directory.Export, err error) {
	time.Sleep(peerLatency)
	source := e.find(from, to)
	if source == nil {
		return export, fault.New(fault.PeerUnreachable, "no answer")
	}
	sent := source.service.exportServers(after, naming)
	if e.isOlder(source) {
		sent.NamesAll, sent.Named, sent.GraceLeft = false, nil, 0
	}
	text, err := json.Marshal(sent)
	if err != nil {
		return export, err
	}
	time.Sleep(peerLatency)
	e.countSent(compressedSize(text))
	e.store.timeline.add("instance %d reads %s", from.number, text)
	return export, json.Unmarshal(text, &export)
}

func compressedSize(text []byte) int {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(text)
	_ = writer.Close()
	return compressed.Len()
}

// setApart sets which instances can't reach each other, nil for none.
func (e *virtualEstate) setApart(apart func(a, b *virtualInstance) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apart = apart
}

// setOlder sets which instances send as an older build.
func (e *virtualEstate) setOlder(older func(i *virtualInstance) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.older = older
}

func (e *virtualEstate) isOlder(i *virtualInstance) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.older != nil && e.older(i)
}

// sent returns the number of bytes that peers sent.
func (e *virtualEstate) sent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sentBytes
}

// longest returns longestUse.
func (e *virtualEstate) longest() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.longestUse
}

// olderDigest returns a digest without what older builds don't send.
func olderDigest(payload []byte) []byte {
	digest, err := Decode(payload)
	if err != nil {
		return payload
	}
	digest.AsOf, digest.StoreUnavailable = 0, false
	return Encode(digest)
}

func (e *virtualEstate) countSent(bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sentBytes += bytes
}

// instances returns the running instances in ascending order.
func (e *virtualEstate) instances() []*virtualInstance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.SortedFunc(maps.Values(e.running), func(a, b *virtualInstance) int { return a.number - b.number })
}

// relays returns the instances that follow the store, others those that don't.
func (e *virtualEstate) relays() (relays, others []*virtualInstance) {
	for _, i := range e.instances() {
		if i.follower.Following() {
			relays = append(relays, i)
		} else {
			others = append(others, i)
		}
	}
	return relays, others
}

// checkLeaving fails the test when an instance still uses a server more than drainTimeout after it left.
func (e *virtualEstate) checkLeaving() {
	for {
		select {
		case <-e.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		now := time.Now()
		e.store.mu.Lock()
		left := maps.Clone(e.store.leftAt)
		stableSince, away := e.store.returnedAt.Add(contactTime), e.store.away
		e.store.mu.Unlock()
		if away {
			continue // no instance is in touch
		}
		for _, i := range e.instances() {
			for id, at := range left {
				known := i.directory.Snapshot().Find(id)
				if known == nil || known.Draining || at.Before(stableSince) || now.Sub(i.startedAt) <= contactTime {
					continue
				}
				e.mu.Lock()
				e.longestUse = max(e.longestUse, now.Sub(at))
				e.mu.Unlock()
				if now.Sub(at) > drainTimeout {
					e.t.Errorf("instance %d uses %s %v after it left", i.number, id, now.Sub(at))
					return
				}
			}
		}
	}
}

// converged returns why the list of an instance isn't that of the store, empty if it is.
func (e *virtualEstate) converged() string {
	current := e.store.current()
	for _, i := range e.instances() {
		known := i.directory.Snapshot().All
		for _, server := range known {
			if entry := current[server.ID]; entry == nil || entry.Revision != server.Revision {
				return fmt.Sprintf("instance %d has %s at %v, which the store doesn't list", i.number, server.ID, server.Revision)
			}
		}
		if len(known) != len(current) {
			return fmt.Sprintf("instance %d has %d servers, the store %d", i.number, len(known), len(current))
		}
	}
	return ""
}

// settle waits until all lists are the store's, and fails the test if they aren't after a time.
func (e *virtualEstate) settle(within time.Duration) {
	e.t.Helper()
	begun, why := time.Now(), "not checked"
	for why != "" {
		if time.Since(begun) > within {
			e.t.Fatalf("after %v: %s", within, why)
		}
		time.Sleep(20 * time.Millisecond)
		why = e.converged()
	}
}

// choose returns one of several values.
func choose[T any](choices *rand.Rand, values []T) T { return values[choices.IntN(len(values))] }
