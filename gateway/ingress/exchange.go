package ingress

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// ErrAnswered means that a second answer was sent for the same request.
var ErrAnswered = fault.New(fault.Internal, "the request was already answered")

// Exchange is one request and its answer.
type Exchange struct {
	Head *http1.Request
	// Body is the complete body of the request.
	Body []byte
	// Received is when the first bytes of the request arrived.
	Received time.Time
	// Relayed is set by a handler of requests that peers hand over.
	Relayed  bool
	conn     *clientConn
	answered bool
	streamed bool
	ended    bool
	// releaseBody returns the memory of Body to its budget. It is called before the end of the answer is
	// written, so that a client that has it finds the memory free.
	releaseBody func()
	// closing is set when the connection is closed after this answer.
	closing bool
	chunk   []byte
}

// Started reports whether a part of the answer was sent.
func (x *Exchange) Started() bool { return x.answered }

// Answer sends a complete answer. The head is a status line with header fields,
// without the empty line, the framing and the Connection field.
func (x *Exchange) Answer(head, body []byte) error {
	if x.answered {
		return ErrAnswered
	}
	x.answered = true
	x.bodyDone()
	if hasBody(head) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(body)), 10)
		head = append(head, "\r\n"...)
	} else {
		body = nil
	}
	head = x.endHead(head)
	if x.Head.Method == "HEAD" {
		body = nil
	}
	if err := x.conn.writeParts(head, body); err != nil {
		x.closing = true
		return err
	}
	x.ended = true
	return nil
}

// Begin sends the head of a streamed answer.
func (x *Exchange) Begin(head []byte) error {
	if x.answered {
		return ErrAnswered
	}
	x.answered, x.streamed = true, true
	head = append(head, "Transfer-Encoding: chunked\r\n"...)
	return x.send(x.endHead(head))
}

// Write sends the next part of a streamed answer.
func (x *Exchange) Write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	x.chunk = strconv.AppendInt(x.chunk[:0], int64(len(data)), 16)
	x.chunk = append(x.chunk, "\r\n"...)
	x.chunk = append(x.chunk, data...)
	x.chunk = append(x.chunk, "\r\n"...)
	return x.send(x.chunk)
}

// End completes a streamed answer.
func (x *Exchange) End() error {
	x.bodyDone()
	if err := x.send([]byte("0\r\n\r\n")); err != nil {
		return err
	}
	x.ended = true
	return nil
}

// EndBy bounds the writes of the answer: one that a client doesn't read ends at that time.
func (x *Exchange) EndBy(at time.Time) { x.conn.endBy = at }

// bodyDone returns the memory of the body.
func (x *Exchange) bodyDone() {
	if x.releaseBody != nil {
		x.releaseBody()
	}
}

// Abort closes the connection at once, so that the client does not take a partial
// answer for a complete one.
func (x *Exchange) Abort() {
	x.closing = true
	x.conn.close()
}

// CloseAfter makes the connection close after the answer.
func (x *Exchange) CloseAfter() { x.closing = true }

// ClosesConnection reports whether the connection is closed after this answer.
func (x *Exchange) ClosesConnection() bool {
	return x.closing || x.conn.server.keepAliveDisabled.Load() || !x.Head.KeepAlive()
}

func (x *Exchange) send(data []byte) error {
	err := x.conn.write(data)
	if err != nil {
		x.closing = true
	}
	return err
}

func (x *Exchange) endHead(head []byte) []byte {
	if x.ClosesConnection() {
		x.closing = true
		head = append(head, "Connection: close\r\n"...)
	}
	return append(head, "\r\n"...)
}

// reusable reports whether the connection can carry another request.
func (x *Exchange) reusable() bool { return x.ended && !x.closing }

// hasBody reports whether the answer with this head has a body.
func hasBody(head []byte) bool {
	const statusAt = len("HTTP/1.1 ")
	status := string(head[statusAt : statusAt+3])
	return status != "204" && status != "304"
}
