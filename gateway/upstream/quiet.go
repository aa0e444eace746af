package upstream

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// isQuiet reports whether an idle connection is open and nothing was received over it. What a server
// sends without a request would be taken for the answer to the next one.
func (c *Conn) isQuiet() bool {
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(descriptor uintptr) {
		var next [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}
