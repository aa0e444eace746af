package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// Conn applies the faults of its listener to one connection.
type Conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	closed   chan struct{}
	once     sync.Once
}

// Read reads and, during a pause, returns the result only after its end.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.waitForPauseEnd()
	return count, err
}

// Write waits for the end of a pause and writes; a silent connection discards
// the bytes and reports success.
func (c *Conn) Write(data []byte) (int, error) {
	c.waitForPauseEnd()
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection and releases a Read or Write that waits for the
// end of a pause.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.untrack(c)
	return c.Conn.Close()
}

// waitForPauseEnd returns when no pause is in force or the connection is closed.
func (c *Conn) waitForPauseEnd() {
	pauseEnd := c.listener.currentPauseEnd()
	if pauseEnd == nil {
		return
	}
	select {
	case <-pauseEnd:
	case <-c.closed:
	}
}
