package http1

import (
	"errors"
	"io"
	"net"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

const (
	// maxStrictHeadBytes bounds the head of an answer in bytes.
	maxStrictHeadBytes = 32 << 10
	// maxInterimAnswers bounds the interim answers before an answer.
	maxInterimAnswers = 10
)

var (
	errExtraBytes     = fault.New(fault.MessageMalformed, "received bytes without a request")
	errInterimAnswers = fault.New(fault.MessageMalformed, "too many interim answers")
)

// StrictConn is the connection of an HTTP client library that reads answers less strictly than this package. What is
// read from it are well-formed answers without interim answers, chunk extensions and trailers. Where an answer is
// malformed, Read returns a *ProtocolError, and io.ErrUnexpectedEOF or the error of the connection where its body ends
// early. Requests must not be pipelined, nor have the method HEAD. One goroutine at a time may read or write.
type StrictConn struct {
	net.Conn
	reader *Reader
	// awaitsHead is set from a request until the head of its answer was read.
	awaitsHead bool
	// body is the body of the current answer, nil when all of it was read.
	body *Body
	// pending is what was received of the answer and not read yet. buffer holds chunks.
	pending, buffer []byte
}

// NewStrictConn returns a strict connection over an open one.
func NewStrictConn(conn net.Conn) *StrictConn {
	return &StrictConn{Conn: conn, reader: NewReader(conn)}
}

// StrictDial returns a function that opens strict connections. Errors are those of dial.
func StrictDial(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return NewStrictConn(conn), nil
	}
}

// Write implements net.Conn. It returns an error for the first part of a request if bytes were received that no
// request asked for.
func (c *StrictConn) Write(data []byte) (int, error) {
	if !c.awaitsHead {
		if c.body != nil || len(c.pending) > 0 || c.reader.Buffered() > 0 {
			return 0, errExtraBytes
		}
		c.awaitsHead = true
	}
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *StrictConn) Read(buffer []byte) (int, error) {
	for len(c.pending) == 0 {
		if err := c.advance(); err != nil {
			return 0, err
		}
	}
	n := copy(buffer, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// advance reads the next part of the answer. It can be called again after the read deadline has passed.
func (c *StrictConn) advance() error {
	switch {
	case c.awaitsHead:
		return c.readHead()
	case c.body != nil:
		return c.readBody()
	}
	if err := c.reader.Fill(maxStrictHeadBytes); err != nil {
		return err
	}
	return errExtraBytes
}

// readHead reads the head of an answer.
func (c *StrictConn) readHead() error {
	for range maxInterimAnswers {
		head, err := c.reader.Head(maxStrictHeadBytes)
		if err != nil {
			return err
		}
		response, err := ParseResponse(head, "")
		if err != nil {
			return err
		}
		if response.Status < 200 {
			continue
		}
		c.awaitsHead = false
		if body := c.reader.Body(response.Framing); !body.Ended() {
			c.body = body
		}
		c.pending = []byte(head)
		return nil
	}
	return errInterimAnswers
}

// readBody reads a part of the body. It returns io.EOF at the end of a body that ends with its connection.
func (c *StrictConn) readBody() error {
	data, err := c.body.Next()
	chunked := c.body.framing.Kind == FramingChunked
	switch {
	case chunked && errors.Is(err, io.EOF):
		c.body = nil
		c.pending = append(c.buffer[:0], "0\r\n\r\n"...)
	case err != nil:
		return err
	case chunked:
		c.buffer = strconv.AppendInt(c.buffer[:0], int64(len(data)), 16)
		c.buffer = append(append(append(c.buffer, "\r\n"...), data...), "\r\n"...)
		c.pending = c.buffer
	default:
		c.pending = data
		if c.body.Ended() {
			c.body = nil
		}
	}
	return nil
}
