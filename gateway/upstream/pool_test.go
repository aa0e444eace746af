package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExpiredDeadlineIsNotServerFailure guards against attributing a failure to a
// working server when the caller's deadline passes before the connection opens.
func TestExpiredDeadlineIsNotServerFailure(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
	defer cancel()
	_, err = NewPool().Open(ctx, "server", listener.Addr().String(), time.Second, false)
	is.True(errors.Is(err, ErrNoTime))
}

func TestRefusedConnectionIsServerFailure(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err = NewPool().Open(ctx, "server", address, time.Second, false)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNoTime))
}

// Guards against a request that is sent behind one of which a part is still to be written.
func TestConnectionIsNotKeptWhileItsRequestIsBeingWritten(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	pool, address := NewPool(), listener.Addr().String()
	for _, c := range []struct {
		body int
		kept bool
	}{{1 << 10, true}, {64 << 20, false}} {
		conn, err := pool.Open(context.Background(), "server", address, time.Second, false)
		is.NoErr(err)
		server, err := listener.Accept()
		is.NoErr(err)
		_, err = conn.Send([]byte("POST / HTTP/1.1\r\n\r\n"), make([]byte, c.body))
		is.NoErr(err)
		_, err = server.Write([]byte("HTTP/1.1 413 Too Long\r\nContent-Length: 0\r\n\r\n"))
		is.NoErr(err)
		response, err := conn.ReadHead("POST")
		is.NoErr(err)
		pool.Put("server", conn, response)
		is.Equal(len(pool.idle["server"]) == 1, c.kept)
		pool.Tick(time.Now().Add(time.Hour))
		is.NoErr(server.Close())
	}
}
