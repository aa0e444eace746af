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
	// peerLatency is the time for one message between instances.
	peerLatency = 2 * time.Millisecond
)

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
