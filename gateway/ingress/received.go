package ingress

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasReceived reports whether something was received over a connection that was not read yet.
func hasReceived(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	received := false
	err = raw.Control(func(descriptor uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(descriptor), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		received = err == nil && n > 0
	})
	return err == nil && received
}
