package keepalive

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// errNoSocket means that a connection has no socket of its own.
var errNoSocket = fault.New(fault.Internal, "the connection has no socket of its own")

// SetTimeout replaces the timeout of an open connection.
func SetTimeout(conn net.Conn, timeout time.Duration) error {
	raw, err := rawConn(conn)
	if err != nil {
		return err
	}
	return setTimeout(raw, timeout)
}

// Acknowledged reports whether the peer has acknowledged all bytes that were written.
func Acknowledged(conn net.Conn) (bool, error) {
	raw, err := rawConn(conn)
	if err != nil {
		return false, err
	}
	var queued int
	var result error
	err = raw.Control(func(descriptor uintptr) { queued, result = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ) })
	return queued == 0, errors.Join(err, result)
}

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

func setTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var result error
	err := raw.Control(func(descriptor uintptr) {
		result = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, result)
}
