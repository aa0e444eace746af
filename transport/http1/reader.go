package http1

import (
	"bytes"
	"errors"
	"io"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// initialBufferBytes is the initial size of a reader's buffer in bytes. It holds a
// typical head with the start of its body.
const initialBufferBytes = 2048

// ErrBufferFull is returned by Fill when the buffer has reached its limit.
var ErrBufferFull = fault.New(fault.MessageMalformed, "the read buffer is full")

// Reader reads messages from one connection. Only one goroutine may use it at a time.
type Reader struct {
	source io.Reader
	buffer []byte
	start  int
	end    int
	// received counts all bytes that were received.
	received int64
}

// NewReader returns a reader for a connection.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: make([]byte, initialBufferBytes)}
}

// Buffered returns the number of received bytes that have not been read yet.
func (r *Reader) Buffered() int { return r.end - r.start }

// Received returns the number of bytes that were received so far.
func (r *Reader) Received() int64 { return r.received }

// Fill reads from the connection into the buffer once. The buffer grows up to limit bytes; at
// the limit Fill returns ErrBufferFull. Other errors are those of the connection.
func (r *Reader) Fill(limit int) error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.end == len(r.buffer) {
		if err := r.growBuffer(limit); err != nil {
			return err
		}
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.received += int64(n)
	if n > 0 {
		return nil
	}
	return err
}

// growBuffer makes free space at the end of the buffer: it moves the unread bytes
// to the start, or doubles the buffer up to the limit.
func (r *Reader) growBuffer(limit int) error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.start, r.end = 0, r.end-r.start
		return nil
	}
	if len(r.buffer) >= limit {
		return ErrBufferFull
	}
	grown := make([]byte, min(2*len(r.buffer), max(limit, initialBufferBytes)))
	copy(grown, r.buffer[:r.end])
	r.buffer = grown
	return nil
}

// headEnd is the line end of the last line of a head and the empty line after it.
var headEnd = []byte("\r\n\r\n")

// Head reads a head and returns it with the empty line that ends it. It returns a
// *ProtocolError for a head over limit bytes or with a bare CR or LF. Other errors are those of
// the connection; io.EOF means that it ended before the first byte.
func (r *Reader) Head(limit int) (string, error) {
	searched := 0
	for {
		data := r.buffer[r.start:r.end]
		if index := bytes.Index(data[max(0, searched-len(headEnd)+1):], headEnd); index >= 0 {
			size := max(0, searched-len(headEnd)+1) + index + len(headEnd)
			return r.consumeHead(size, limit)
		}
		if hasBareLineEnd(data) {
			return "", malformed("head", "a line does not end with CR LF")
		}
		if len(data) > limit {
			return "", &ProtocolError{Status: statusHeaderTooLarge, Field: "head", Reason: "exceeds the size limit"}
		}
		searched = len(data)
		if err := r.Fill(limit + initialBufferBytes); err != nil {
			if errors.Is(err, io.EOF) && searched > 0 {
				return "", io.ErrUnexpectedEOF
			}
			return "", err
		}
	}
}

func (r *Reader) consumeHead(size, limit int) (string, error) {
	if size > limit {
		return "", &ProtocolError{Status: statusHeaderTooLarge, Field: "head", Reason: "exceeds the size limit"}
	}
	head := string(r.buffer[r.start : r.start+size])
	if hasBareLineEnd([]byte(head)) {
		return "", malformed("head", "a line does not end with CR LF")
	}
	r.start += size
	return head, nil
}

// hasBareLineEnd reports whether the data contains a line feed without a carriage
// return before it, or a carriage return without a line feed after it.
func hasBareLineEnd(data []byte) bool {
	for i, c := range data {
		if c == '\n' && (i == 0 || data[i-1] != '\r') {
			return true
		}
		if c == '\r' && i+1 < len(data) && data[i+1] != '\n' {
			return true
		}
	}
	return false
}
