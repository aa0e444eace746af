package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	// maxHeadBytes bounds the head of an answer in bytes, and all interim answers before it.
	maxHeadBytes = 32 << 10
	// maxInlineBytes is the size of a request that fits into the buffers of a
	// connection. A larger request is written concurrently with reading its
	// answer, because a server may answer before it has read the request.
	maxInlineBytes = 4 << 10
	// writeTimeout bounds the sending of one request.
	writeTimeout = 30 * time.Second
)

// ErrExtraBytes means that a server sent bytes that belong to no answer.
var ErrExtraBytes = fault.New(fault.UpstreamBroken, "received bytes without a request")

// errInterimAnswers means that a server sent interim answers of more than maxHeadBytes.
var errInterimAnswers = fault.New(fault.UpstreamBroken, "too many interim answers")

// Conn is one connection to a backend server. It carries one request at a
// time.
type Conn struct {
	conn   net.Conn
	reader *http1.Reader
	// Reused is set when the connection carried a request before.
	Reused  bool
	address string
	// write is the concurrent writing of the current request; nil when it was written
	// inline.
	write *requestWrite
	// interimBytes is the size of the interim answers to the current request.
	interimBytes int
	timeout      readingTimeout
	idleUntil    time.Time
	closed       atomic.Bool
}

// Send writes a request. sent is false when no byte of it can have reached the
// server. A large request is still being written when Send returns.
func (c *Conn) Send(head, body []byte) (sent bool, err error) {
	if c.reader.Buffered() > 0 {
		return false, ErrExtraBytes
	}
	c.interimBytes, c.write = 0, nil
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false, err
	}
	if len(head)+len(body) <= maxInlineBytes {
		n, err := c.conn.Write(append(head, body...))
		return n > 0, err
	}
	number, err := c.timeout.extend(c.conn)
	if err != nil {
		return false, err
	}
	c.write = startWrite(c.conn, net.Buffers{head, body}, func() { c.timeout.restoreWhenAcknowledged(c.conn, number) })
	return true, nil
}

// SetReadDeadline bounds the following reads.
func (c *Conn) SetReadDeadline(at time.Time) error { return c.conn.SetReadDeadline(at) }

// ReadHead reads the head of the answer to a request of the given method.
// Interim answers are skipped; those over maxHeadBytes in total are a failure.
func (c *Conn) ReadHead(method string) (*http1.Response, error) {
	for {
		head, err := c.reader.Head(maxHeadBytes)
		if err != nil {
			return nil, err
		}
		response, err := http1.ParseResponse(head, method)
		if err != nil {
			return nil, err
		}
		if response.Status >= 200 {
			return response, nil
		}
		if c.interimBytes += len(head); c.interimBytes > maxHeadBytes {
			return nil, errInterimAnswers
		}
	}
}

// Received returns the number of bytes that were received over the connection so far.
func (c *Conn) Received() int64 { return c.reader.Received() }

// WaitHead waits for the first bytes of the answer's head. If the read deadline
// expires before, no data is lost and the call can be repeated.
func (c *Conn) WaitHead() error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	err := c.reader.Fill(maxHeadBytes)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Body returns the body of the answer. One that ends with its connection is complete only if the
// request could be written until then.
func (c *Conn) Body(response *http1.Response) *http1.Body {
	body := c.reader.Body(response.Framing)
	if c.write != nil {
		body.CheckEnd(c.write.checkEnd)
	}
	return body
}

// Close closes the connection. Any goroutine may call it, more than once.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.conn.Close() // The connection is discarded, so that an error doesn't matter.
	}
}

// fullyWritten reports whether the request was written completely.
func (c *Conn) fullyWritten() bool { return c.write == nil || c.write.succeeded() }

// IsReadTimeout reports whether a read ended because of its deadline. The connection may still
// be sound, unlike after a timeout of the transport.
func IsReadTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// IsTimeout reports whether an operation ended because of its deadline or a timeout of the
// transport.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
