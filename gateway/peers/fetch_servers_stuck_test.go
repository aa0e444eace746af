package peers

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// passOnTime is the time within which a change that some relay has must reach an instance that other relays don't answer:
// what remains of the users' 3 s after a backup has read the change (1.6 s), and before a connection opens (350 ms).
const passOnTime = time.Second

// Guards against DRAIN: a relay that accepts connections and doesn't answer, as a frozen one does, holds up the servers.
func TestServersAreFetchedBesideARelayThatDoesNotAnswer(t *testing.T) {
	silent, sound := fasthttputil.NewInmemoryListener(), fasthttputil.NewInmemoryListener()
	defer func() { _, _ = silent.Close(), sound.Close() }()
	holder := newService(netip.MustParseAddrPort("10.0.0.3:1"))
	holder.options.Directory.Put(&directory.Server{ID: "s", Service: "calls", Address: "10.9.0.1:1", Revision: 7, Draining: true})
	server := &fasthttp.Server{Handler: holder.Handler()}
	go func() { _ = server.Serve(sound) }()
	reader := newService(netip.MustParseAddrPort("10.0.0.100:1"))
	reader.client.Dial = func(address string) (net.Conn, error) {
		if strings.HasPrefix(address, addressOf(3).String()+":") {
			return sound.Dial()
		}
		return silent.Dial()
	}
	now := time.Now()
	known := holder.localState()
	for instance := 2; instance <= 3; instance++ {
		receiveDigest(reader.table, now, instance, func(d *Digest) {
			d.DataCentre, d.Relay, d.Revision, d.Servers = "a", true, known.Revision, known.Servers
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reader.RunFetch(ctx)
	for reader.options.Directory.Snapshot().Find("s") == nil {
		time.Sleep(5 * time.Millisecond)
		if time.Since(now) > passOnTime {
			t.Fatal("the server's entry did not arrive in time")
		}
	}
}

// Guards against DATA RACE: digests of a peer change its record while the servers are read from it. The race detector reports it.
func TestDigestsArriveWhileServersAreFetched(t *testing.T) {
	is := is.New(t)
	listener := fasthttputil.NewInmemoryListener()
	defer func() { _ = listener.Close() }()
	holder, reader := newService(netip.MustParseAddrPort("10.0.0.2:1")), newService(netip.MustParseAddrPort("10.0.0.100:1"))
	server := &fasthttp.Server{Handler: holder.Handler()}
	go func() { _ = server.Serve(listener) }()
	reader.client.Dial = func(string) (net.Conn, error) { return listener.Dial() }
	receiveDigest(reader.table, time.Now(), 2, nil)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for sequence := uint64(time.Now().UnixNano()); ; sequence++ {
			select {
			case <-stop:
				return
			default:
				digest := Digest{Instance: "instance-2", DataCentre: "a", Incarnation: 1, Sequence: sequence, Relay: sequence%2 == 0}
				reader.record(time.Now(), addressOf(2), &digest)
			}
		}
	}()
	for n := range 50 {
		holder.options.Directory.Put(&directory.Server{ID: "s", Service: "calls", Address: "10.9.0.1:1", Revision: revision.Revision(n + 7)})
		reader.mu.Lock()
		started := reader.startServerFetch(time.Now().Add(time.Hour), reader.table.peers[addressOf(2)])
		reader.mu.Unlock()
		is.True(started)
		for running := true; running; time.Sleep(time.Millisecond) {
			reader.mu.Lock()
			running = reader.serverFetches.running > 0
			reader.mu.Unlock()
		}
	}
	close(stop)
	<-stopped
	is.True(reader.options.Directory.Snapshot().Find("s") != nil)
}
