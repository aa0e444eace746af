package caller

import (
	"net"
	"time"
)

// deadlineListener gives each write of a connection a deadline of its own, so
// that a long stream lives on while a stuck caller is cut off.
type deadlineListener struct {
	net.Listener
	timeout time.Duration
}

// Accept returns the next connection.
func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn, timeout: l.timeout}, nil
}

type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes under a new deadline.
func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
