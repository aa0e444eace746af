package upstream

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// transportTimeout returns the TCP_USER_TIMEOUT of a connection.
func transportTimeout(t *testing.T, conn *Conn) time.Duration {
	t.Helper()
	raw, err := conn.conn.(syscall.Conn).SyscallConn()
	is.New(t).NoErr(err)
	var value int
	is.New(t).NoErr(raw.Control(func(descriptor uintptr) {
		value, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.New(t).NoErr(err)
	return time.Duration(value) * time.Millisecond
}

// Guards against a lost path that is noticed late, and against the end of a sound server's connection.
func TestLongTimeoutAppliesOnlyWhileALongRequestIsUnread(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		server, err := listener.Accept()
		if err == nil {
			accepted <- server
		}
	}()
	conn, err := NewPool().Open(context.Background(), "server", listener.Addr().String(), time.Second, false)
	is.NoErr(err)
	defer conn.Close()
	server := <-accepted
	defer func() { _ = server.Close() }()
	head, body := []byte("head"), make([]byte, 16<<20)
	_, err = conn.Send(head, nil)
	is.NoErr(err)
	is.Equal(transportTimeout(t, conn), 3*time.Second)
	_, err = conn.Send(head, body)
	is.NoErr(err)
	time.Sleep(4 * time.Second) // the server reads nothing
	is.Equal(transportTimeout(t, conn), 6*time.Second)
	_, err = io.CopyN(io.Discard, server, int64(2*len(head)+len(body)))
	is.NoErr(err)
	for begin := time.Now(); transportTimeout(t, conn) != 3*time.Second; time.Sleep(20 * time.Millisecond) {
		is.True(time.Since(begin) < time.Second)
	}
}
