package http1

import (
	"bytes"
	"errors"
	"io"
)

// initialBuffer is the first size of a reader's buffer in bytes: a usual head
// with the start of its body.
const initialBuffer = 2048

// ErrFull is returned by Fill when the buffer is at its limit.
var ErrBufferFull = errors.New("http1: read buffer is full")

// Reader reads messages from one connection. It belongs to one goroutine at a
// time.
type Reader struct {
	source io.Reader
	buffer []byte
	start  int
	end    int
}

// NewReader returns a reader of a connection.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: make([]byte, initialBuffer)}
}

// Buffered returns how many received bytes were not read yet.
func (r *Reader) Buffered() int { return r.end - r.start }

// Fill receives once. The buffer grows up to limit bytes; at the limit Fill
// returns ErrFull. Other errors are those of the connection.
func (r *Reader) Fill(limit int) error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.end == len(r.buffer) {
		if err := r.makeRoom(limit); err != nil {
			return err
		}
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	return err
}

func (r *Reader) makeRoom(limit int) error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.start, r.end = 0, r.end-r.start
		return nil
	}
	if len(r.buffer) >= limit {
		return ErrBufferFull
	}
	grown := make([]byte, min(2*len(r.buffer), max(limit, initialBuffer)))
	copy(grown, r.buffer[:r.end])
	r.buffer = grown
	return nil
}

var headEnd = []byte("\r\n\r\n")

// Head reads up to the empty line that ends a head, which it includes. A head
// over limit bytes or with a bare line end is a *ProtocolError; other errors
// are those of the connection, io.EOF only before the first byte.
func (r *Reader) Head(limit int) (string, error) {
	searched := 0
	for {
		data := r.buffer[r.start:r.end]
		if index := bytes.Index(data[max(0, searched-len(headEnd)+1):], headEnd); index >= 0 {
			size := max(0, searched-len(headEnd)+1) + index + len(headEnd)
			return r.takeHead(size, limit)
		}
		if bareLineEnd(data) {
			return "", malformed("head", "a line does not end with CR LF")
		}
		if len(data) > limit {
			return "", &ProtocolError{Status: statusHeaderTooLarge, Field: "head", Reason: "over the size limit"}
		}
		searched = len(data)
		if err := r.Fill(limit + initialBuffer); err != nil {
			if errors.Is(err, io.EOF) && searched > 0 {
				return "", io.ErrUnexpectedEOF
			}
			return "", err
		}
	}
}

func (r *Reader) takeHead(size, limit int) (string, error) {
	if size > limit {
		return "", &ProtocolError{Status: statusHeaderTooLarge, Field: "head", Reason: "over the size limit"}
	}
	head := string(r.buffer[r.start : r.start+size])
	if bareLineEnd([]byte(head)) {
		return "", malformed("head", "a line does not end with CR LF")
	}
	r.start += size
	return head, nil
}

// bareLineEnd reports whether a line feed has no carriage return before it, or
// a carriage return no line feed behind it.
func bareLineEnd(data []byte) bool {
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
