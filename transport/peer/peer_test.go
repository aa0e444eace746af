package peer_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/peer"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

func ring(t *testing.T, active string, secrets ...string) *peerauth.KeyRing {
	t.Helper()
	keys := settings.KeyRing{Active: active}
	for _, secret := range secrets {
		keys.Keys = append(keys.Keys, settings.Key{ID: "key-" + secret, Secret: strings.Repeat(secret, 32)})
	}
	made, err := peerauth.NewKeyRing(keys)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func serve(t *testing.T, ring *peerauth.KeyRing, handlers peer.Handlers) *peer.Server {
	t.Helper()
	server, err := peer.Listen("127.0.0.1:0", ring, handlers)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { server.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return server
}

func TestCallsReuseOneConnection(t *testing.T) {
	is := is.New(t)
	server := serve(t, ring(t, "key-11", "11", "22"), peer.Handlers{
		CommitClaims: func(_ context.Context, shard uint32, payload []byte) ([]byte, error) {
			return append(payload, byte(shard)), nil
		},
		Configuration: func(context.Context, *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
			return nil, fault.New(fault.ConfigurationUnset, "none yet")
		},
	})
	client := peer.NewClient(ring(t, "key-22", "11", "22")) // the other active key, as in a rotation
	defer client.Close()
	for range 3 {
		answer, err := client.CommitClaims(t.Context(), server.Address(), 7, []byte{1})
		is.NoErr(err)
		is.Equal(answer, []byte{1, 7})
	}
	_, err := client.Configuration(t.Context(), server.Address(), 0)
	is.True(fault.HasCode(err, fault.ConfigurationUnset))
	_, err = client.Dump(t.Context(), server.Address())
	is.True(fault.HasCode(err, fault.NotFound))
	is.Equal(client.Status().Dials, uint64(1))
}

func TestWrongKeyIsRefusedOnBothEnds(t *testing.T) {
	is := is.New(t)
	server := serve(t, ring(t, "key-11", "11"), peer.Handlers{})
	client := peer.NewClient(ring(t, "key-99", "99"))
	defer client.Close()
	_, err := client.Dump(t.Context(), server.Address())
	is.True(fault.HasCode(err, fault.PeerUnauthenticated))
}

func TestNoiseIsRefused(t *testing.T) {
	is := is.New(t)
	server := serve(t, ring(t, "key-11", "11"), peer.Handlers{})
	conn, err := net.Dial("tcp", server.Address())
	is.NoErr(err)
	_, err = conn.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 100)))
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil) // closed without an answer
	is.NoErr(conn.Close())
	is.Equal(server.Status().Refused, uint64(1))
}

func TestStoppedPeerIsUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := peer.NewClient(ring(t, "key-11", "11"))
	defer client.Close()
	_, err = client.Dump(t.Context(), address)
	is.True(fault.HasCode(err, fault.PeerUnreachable))
}
