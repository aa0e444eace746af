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
	// writeTimeout bounds one write to a client, which blocks while the client
	// does not read.
	writeTimeout = 10 * time.Second
	// lingerTime and lingerBytes bound the data that is read and discarded after
	// the answer to a request that was not read completely: closing at once would
	// reset the connection and lose the answer.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
	// pipelinedBytes bounds the data that is received while a request is answered.
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
	// endBy bounds the writes of the current answer; zero for writeTimeout alone.
	endBy time.Time
}

// run answers the requests of the connection one after another.
func (c *clientConn) run() {
	defer c.server.remove(c)
	defer c.close()
	for c.serveNext() {
	}
}

// serveNext answers one request and reports whether the connection stays open for
// another.
func (c *clientConn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.server.handler.Limits() // A configuration may have come into force meanwhile.
	if !c.state.CompareAndSwap(stateIdle, stateBusy) {
		return false
	}
	reserved := reservation{budget: &c.server.bodies}
	defer reserved.release()
	exchange, err := c.read(limits, &reserved)
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
	exchange.releaseBody = reserved.release
	c.endBy = time.Time{}
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.watchDisconnect(cancel)
	if c.server.guard.Run("request", func() { c.server.handler.Serve(ctx, exchange) }) {
		c.fail(exchange)
	}
	stop()
	cancel()
	if !exchange.reusable() {
		return false
	}
	return c.state.CompareAndSwap(stateBusy, stateIdle)
}

// awaitRequest waits for the first byte of a request and reports whether it came.
// When the idle timeout expires, the limits are read again, because a new
// configuration may have extended it.
func (c *clientConn) awaitRequest() bool {
	since, limits := time.Now(), c.server.handler.Limits()
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

// read reads one complete request. With errBodiesFull it returns the exchange as
// well, because its head was read.
func (c *clientConn) read(limits route.Limits, reserved *reservation) (*Exchange, error) {
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
	exchange.Body, err = c.reader.Body(head.Framing).ReadAllReserving(limits.BodyBytes, reserved.reserve)
	return exchange, err
}

// reject answers a request that violates the protocol or was not sent in time.
// Other errors mean that the client disconnected and get no answer.
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

// fail ends a request in whose code an unexpected error occurred.
func (c *clientConn) fail(exchange *Exchange) {
	if exchange.Started() {
		exchange.Abort()
		return
	}
	exchange.CloseAfter()
	c.server.handler.Failed(exchange)
}

// linger gives the client time to read the answer before the connection is reset.
func (c *clientConn) linger() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || c.conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// Remaining data of the client is discarded, and errors don't matter.
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)
}

// watchDisconnect receives while a request is answered and calls cancel when the
// client disconnects. The returned function ends the watch.
func (c *clientConn) watchDisconnect(cancel context.CancelFunc) (stop func()) {
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
		// A deadline in the past ends the pending read.
		if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.close()
		}
		<-done
	}
}

// writeDeadline returns until when a write that begins now may block.
func (c *clientConn) writeDeadline() time.Time {
	at := time.Now().Add(writeTimeout)
	if !c.endBy.IsZero() && c.endBy.Before(at) {
		return c.endBy
	}
	return at
}

func (c *clientConn) write(data []byte) error {
	if err := c.conn.SetWriteDeadline(c.writeDeadline()); err != nil {
		return err
	}
	_, err := c.conn.Write(data)
	return err
}

// copiedBytes is the size in bytes of a body up to which it is copied behind its head.
const copiedBytes = 16 << 10

// writeParts writes a head and a body. A large body is not copied.
func (c *clientConn) writeParts(head, body []byte) error {
	if len(body) <= copiedBytes {
		return c.write(append(head, body...))
	}
	if err := c.conn.SetWriteDeadline(c.writeDeadline()); err != nil {
		return err
	}
	parts := net.Buffers{head, body}
	_, err := parts.WriteTo(c.conn)
	return err
}

// closeIfIdle closes the connection unless a request has begun, or was received and is about to begin.
func (c *clientConn) closeIfIdle() {
	if hasReceived(c.conn) {
		return
	}
	if c.state.CompareAndSwap(stateIdle, stateClosed) {
		_ = c.conn.Close() // The client opens another connection.
	}
}

func (c *clientConn) close() {
	c.state.Store(stateClosed)
	_ = c.conn.Close() // The connection is discarded, so that an error doesn't matter.
}
