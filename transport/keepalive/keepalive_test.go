package keepalive

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// option returns the value of a socket option of a connection.
func option(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	is.New(t).NoErr(err)
	var value int
	is.New(t).NoErr(raw.Control(func(descriptor uintptr) { value, err = unix.GetsockoptInt(int(descriptor), level, name) }))
	is.New(t).NoErr(err)
	return value
}

func connect(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	is := is.New(t)
	config, dialer := ListenConfig(), Dialer(time.Second)
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	dialed, err = dialer.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	accepted, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _, _ = listener.Close(), dialed.Close(), accepted.Close() })
	return dialed, accepted
}

// Guards against a timeout that makes probes give up later than their count says.
func TestConnectionsHaveTheirBound(t *testing.T) {
	dialed, accepted := connect(t)
	for conn, bound := range map[net.Conn]Bound{dialed: Outgoing, accepted: Accepted} {
		is := is.New(t)
		is.Equal(option(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
		is.Equal(option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), int(bound.Idle.Seconds()))
		is.Equal(option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), int(bound.Interval.Seconds()))
		is.Equal(option(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(bound.Timeout.Milliseconds()))
		is.Equal(bound.Idle+time.Duration(option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))*bound.Interval, bound.Timeout)
	}
}

func TestUnreadBytesAreNotAcknowledged(t *testing.T) {
	is := is.New(t)
	dialed, accepted := connect(t)
	_, err := dialed.Write(make([]byte, 100))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	done, err := Acknowledged(dialed) // in the receive buffer of the peer
	is.NoErr(err)
	is.True(done)
	is.NoErr(dialed.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)))
	_, err = dialed.Write(make([]byte, 32<<20))
	is.True(err != nil)
	done, err = Acknowledged(dialed)
	is.NoErr(err)
	is.True(!done)
	_ = accepted
}
