package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	// writeTimeout bounds one write to a client that does not read.
	writeTimeout = 10 * time.Second
	// lingerTime and lingerBytes bound what is read and dropped after an
	// answer to a request that was not read whole: closing at once would reset
	// the connection and lose the answer.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
	// pipelinedBytes bounds what is received while a request is answered.
	pipelinedBytes = 8 << 10
)

// States of a connection.
const (
	stateIdle int32 = iota
	stateBusy
	stateClosed
)

// clientConn is one client's connection.
type clientConn struct {
	server *Server
	conn   net.Conn
	reader *http1.Reader
	state  atomic.Int32
}

// run answers the requests of the connection one after another.
func (c *clientConn) run() {
	defer c.server.remove(c)
	defer c.close()
	for c.next() {
	}
}

// next answers one request and reports whether the connection goes on.
func (c *clientConn) next() bool {
	limits := c.server.handler.Limits()
	if !c.waitRequest(limits) {
		return false
	}
	if !c.state.CompareAndSwap(stateIdle, stateBusy) {
		return false
	}
	taken := share{budget: &c.server.bodies}
	defer taken.release()
	exchange, err := c.read(limits, &taken)
	if errors.Is(err, errBodiesFull) {
		exchange.CloseAfter()
		c.server.handler.Overloaded(exchange, err)
		c.linger()
		return false
	}
	if err != nil {
		c.reject(err)
		return false
	}
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.watch(cancel)
	c.server.handler.Serve(ctx, exchange)
	stop()
	cancel()
	if !exchange.reusable() {
		return false
	}
	return c.state.CompareAndSwap(stateBusy, stateIdle)
}

// waitRequest waits for the first byte of a request. The idle time is read
// again when it is over, because a new configuration may have changed it.
func (c *clientConn) waitRequest(limits route.Limits) bool {
	since := time.Now()
	for c.reader.Buffered() == 0 {
		if err := c.conn.SetReadDeadline(since.Add(limits.IdleTimeout)); err != nil {
			return false
		}
		err := c.reader.Fill(limits.HeaderBytes)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			limits = c.server.handler.Limits()
			if time.Since(since) >= limits.IdleTimeout {
				return false
			}
			continue
		}
		if err != nil {
			return false
		}
	}
	return true
}

// read reads one request whole. With errBodiesFull it returns the exchange too:
// its head was read.
func (c *clientConn) read(limits route.Limits, taken *share) (*Exchange, error) {
	received := time.Now()
	if err := c.conn.SetReadDeadline(received.Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	text, err := c.reader.Head(limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	head, err := http1.ParseRequest(text)
	if err != nil {
		return nil, err
	}
	exchange := &Exchange{Head: head, Received: received, conn: c}
	if head.Framing.Kind == http1.FramingNone {
		return exchange, nil
	}
	if head.Fields.HasToken("Expect", "100-continue") {
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return nil, err
	}
	exchange.Body, err = c.reader.Body(head.Framing).ReadAllReserving(limits.BodyBytes, taken.reserve)
	return exchange, err
}

// reject answers a request that can't be read, when there is anybody to
// answer.
func (c *clientConn) reject(err error) {
	var protocol *http1.ProtocolError
	var timeout net.Error
	switch {
	case errors.As(err, &protocol):
	case errors.As(err, &timeout) && timeout.Timeout():
		protocol = &http1.ProtocolError{Status: 408, Field: "request", Reason: "not sent in time"}
	default:
		return
	}
	exchange := &Exchange{Head: &http1.Request{Method: "GET"}, Received: time.Now(), conn: c, closing: true}
	c.server.handler.Reject(exchange, protocol)
	c.linger()
}

// linger lets the client read the answer before the connection is reset.
func (c *clientConn) linger() {
	half, ok := c.conn.(*net.TCPConn)
	if !ok || half.CloseWrite() != nil || c.conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// What the client still sends is dropped; how it ends does not matter.
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)
}

// watch receives while a request is answered and cancels it when the client
// leaves. The returned function ends the watch.
func (c *clientConn) watch(cancel context.CancelFunc) (stop func()) {
	var stopping atomic.Bool
	done := make(chan struct{})
	if c.conn.SetReadDeadline(time.Time{}) != nil {
		cancel()
	}
	go func() {
		defer close(done)
		for {
			err := c.reader.Fill(pipelinedBytes)
			switch {
			case err == nil:
			case errors.Is(err, http1.ErrBufferFull) || stopping.Load():
				return
			default:
				cancel()
				return
			}
		}
	}()
	return func() {
		stopping.Store(true)
		// A deadline in the past ends the read under way.
		if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.close()
		}
		<-done
	}
}

func (c *clientConn) write(data []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(data)
	return err
}

// closeIfIdle closes the connection unless a request was begun.
func (c *clientConn) closeIfIdle() {
	if c.state.CompareAndSwap(stateIdle, stateClosed) {
		_ = c.conn.Close() // The client opens another connection.
	}
}

func (c *clientConn) close() {
	c.state.Store(stateClosed)
	_ = c.conn.Close() // The connection is given up; there is nothing to do about an error.
}
