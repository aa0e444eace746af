package forward

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
)

// reachFixture is a forwarder with servers whose listeners open and close.
type reachFixture struct {
	*Forwarder
	statements chan peers.CutOff
	servers    []*directory.Server
	listeners  []net.Listener
}

// newReachFixture starts two listening servers of each of the services.
func newReachFixture(t *testing.T, services ...string) *reachFixture {
	is := is.New(t)
	fixture := &reachFixture{statements: make(chan peers.CutOff, 100)}
	servers := directory.New()
	for i := range 2 * len(services) {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		server := &directory.Server{ID: strconv.Itoa(i), Service: services[i/2], Address: listener.Addr().String(), Revision: 1}
		servers.Put(server)
		fixture.servers, fixture.listeners = append(fixture.servers, server), append(fixture.listeners, listener)
		t.Cleanup(func() { _ = fixture.listeners[i].Close() })
	}
	fixture.Forwarder = New(Options{
		State: discovery.NewState(), Directory: servers, Policy: placement.DefaultPolicy(), Logger: zerolog.Nop(), Metrics: metrics.NewRegistry(),
		OnCutOff:       func(cutOff peers.CutOff) { fixture.statements <- cutOff },
		OnUnreachable:  func(*directory.Server, bool) {},
		AnnouncePoison: func() {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); fixture.RunReach(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return fixture
}

// fail tries to send a request to a server.
func (f *reachFixture) fail(t *testing.T, server *directory.Server) {
	_, err := f.open(t.Context(), server, time.Second, true)
	is.New(t).True(err != nil)
	f.recordUnreachable(server, err)
}

// next returns the next statement.
func (f *reachFixture) next(t *testing.T) peers.CutOff {
	select {
	case cutOff := <-f.statements:
		return cutOff
	case <-time.After(5 * time.Second):
		t.Fatal("no statement")
		return peers.CutOff{}
	}
}

func TestCutOffBeginsAfterOneFailureAndEndsWithTheFirstConnection(t *testing.T) {
	is := is.New(t)
	f := newReachFixture(t, "a", "b")
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
	f.fail(t, f.servers[0])
	for !f.next(t).All {
	}
	is.True(f.selector.cutOff("a"))
	is.True(f.selector.cutOff("b"))
	is.True(f.selector.avoided(f.servers[0]))
	var err error
	for i := range f.listeners {
		f.listeners[i], err = net.Listen("tcp4", f.servers[i].Address)
		is.NoErr(err)
	}
	for !f.next(t).Equal(peers.CutOff{}) {
	}
	is.True(!f.selector.cutOff("a"))
	is.True(!f.selector.avoided(f.servers[0]))
}

func TestOneServiceIsCutOff(t *testing.T) {
	is := is.New(t)
	f := newReachFixture(t, "a", "b")
	_ = f.listeners[0].Close()
	_ = f.listeners[1].Close()
	f.fail(t, f.servers[0])
	is.True(f.next(t).Equal(peers.CutOff{Services: []string{"a"}}))
	time.Sleep(2 * cutOffProbeInterval)
	is.True(f.selector.cutOff("a"))
	is.True(!f.selector.cutOff("b"))
	is.Equal(len(f.statements), 0)
}

func TestOneReachedServerPreventsACutOff(t *testing.T) {
	is := is.New(t)
	f := newReachFixture(t, "a")
	_ = f.listeners[0].Close()
	for range 3 {
		f.fail(t, f.servers[0])
		time.Sleep(suspectedProbeInterval)
	}
	time.Sleep(2 * cutOffProbeInterval)
	is.True(!f.selector.cutOff("a"))
	is.Equal(len(f.statements), 0)
	is.Equal(len(f.selector.reach.tracker.Unconfirmed()), 0)
}

// Guards against quarantines of sound requests whose connections broke with the links of the instance.
func TestServersBehindBrokenLinksHaveNotCrashed(t *testing.T) {
	is := is.New(t)
	f := newReachFixture(t, "a", "b")
	crashed := func(server *directory.Server, request poison.Key) bool {
		probe := &serverProbe{broken: []brokenRun{{request: "r", keys: poison.Run{Request: request}, at: time.Now()}}, done: make(chan struct{})}
		before := len(f.poison.News(true).Crashes)
		f.crashes.run(server, probe)
		return len(f.poison.News(true).Crashes) > before
	}
	_ = f.listeners[0].Close()
	is.True(crashed(f.servers[0], 1))
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
	is.True(!crashed(f.servers[2], 2))
}
