package peers

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// manyRoutes returns a configuration document with 1,200 routes, the size that users have.
func manyRoutes() []byte {
	var routes []string
	for n := range 1200 {
		routes = append(routes, fmt.Sprintf(`{"Name":"r-%d","Host":"api-%d.example","PathPrefix":"/%x/","Kind":"safe","Service":"calls","TimeoutMs":2000,"TargetLatencyMs":300,"Priority":1,"Attempts":2}`, n, n%7, n*7919))
	}
	return []byte(`{"Routes":[` + strings.Join(routes, ",") + `]}`)
}

// TestConfigurationIsCompressedInTransit checks that a large configuration is
// compressed on the connection between two instances.
func TestConfigurationIsCompressedInTransit(t *testing.T) {
	is := is.New(t)
	document := manyRoutes()
	holder := newService(netip.MustParseAddrPort("127.0.0.1:1"))
	holder.options.State.Offer(&discovery.Configuration{Table: &route.Table{Version: 7}, Document: document})
	listener := fasthttputil.NewInmemoryListener()
	defer func() { _ = listener.Close() }()
	server := &fasthttp.Server{Handler: holder.Handler()}
	go func() { _ = server.Serve(listener) }()
	var received int
	reader := newService(netip.MustParseAddrPort("127.0.0.2:1"))
	reader.client.Dial = func(string) (net.Conn, error) {
		conn, err := listener.Dial()
		return &countingConn{Conn: conn, received: &received}, err
	}
	got, err := reader.get(netip.MustParseAddr("127.0.0.1"), configurationPath+"?after=0")
	is.NoErr(err)
	is.Equal(string(got), string(document))
	t.Logf("%d bytes of %d", received, len(document))
	is.True(received < len(document)/4)
	got, err = reader.get(netip.MustParseAddr("127.0.0.1"), configurationPath+"?after=7")
	is.NoErr(err)
	is.Equal(len(got), 0) // nothing newer
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	received *int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	*c.received += n
	return n, err
}

// TestInstancesFetchFromDifferentPeers guards against all instances fetching from the same
// peer when several have the same newer configuration, and against a peer being asked
// again directly after a failed fetch.
func TestInstancesFetchFromDifferentPeers(t *testing.T) {
	is := is.New(t)
	asked := make(map[string]int)
	own := LocalState{DataCentre: "a", Version: 4}
	for n := range 30 {
		table := NewTable(fmt.Sprintf("own-%d", n), addressOf(100), nil)
		for other := range 4 {
			receiveDigest(table, begin, other, func(d *Digest) { d.Version = 6 })
		}
		first, _ := table.FetchSources(begin, own)
		asked[first.instance]++
		first.fetchFailedAt = begin
		second, _ := table.FetchSources(begin, own)
		is.True(second != first)
		again, _ := table.FetchSources(begin.Add(fetchRetryDelay+time.Millisecond), own)
		is.Equal(again, first)
	}
	is.Equal(len(asked), 4)
}
