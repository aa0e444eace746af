package caller

import (
	"net"
	"time"
)

// deadlineListener sets a new deadline for each write of its connections, so that a long stream
// can continue while a caller that stops reading is disconnected.
type deadlineListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
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

// Write implements net.Conn; the deadline starts anew with each call.
func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
