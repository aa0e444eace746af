package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(descriptor uintptr) {
		result = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return result
}
