package peers

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
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
