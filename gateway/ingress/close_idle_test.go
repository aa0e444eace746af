package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// answeringHandler answers each request with 204.
type answeringHandler struct{}

func (answeringHandler) Serve(_ context.Context, x *Exchange) {
	_ = x.Answer([]byte("HTTP/1.1 204 No Content\r\n"), nil)
}
func (answeringHandler) Reject(*Exchange, *http1.ProtocolError) {}
func (answeringHandler) Overloaded(*Exchange, error)            {}
func (answeringHandler) Failed(*Exchange)                       {}
func (answeringHandler) Limits() route.Limits {
	return route.Limits{HeaderBytes: 4096, BodyBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: time.Second}
}

// Guards against a request that is cut off without an answer because it was received, but not read yet, when a planned stop
// closed the idle connections.
func TestReceivedRequestIsAnsweredWhenIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	is.NoErr(err)
	_, err = client.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	awaitReceived(t, accepted)

	s := NewServer(answeringHandler{}, Limits{Connections: 10, BodyBytes: 1 << 20}, nil, zerolog.Nop())
	s.DisableKeepAlive()
	conn := &clientConn{server: s, conn: accepted, reader: http1.NewReader(accepted)}
	is.True(s.add(conn))
	s.CloseIdle()
	go conn.run()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 204)
	is.NoErr(response.Body.Close())
}

// awaitReceived waits until something was received over a connection.
func awaitReceived(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, err := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
