package http1

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxChunkLine bounds the line before a chunk in bytes, extensions included.
	maxChunkLine = 256
	// maxTrailer bounds the fields behind the last chunk in bytes.
	maxTrailer = 4096
	// readBuffer is the largest buffer for a body in bytes.
	readBuffer = 32 << 10
	// maxChunkDigits keeps the size of a chunk within 32 bits.
	maxChunkDigits = 7
)

// Body reads the body of one message.
type Body struct {
	reader  *Reader
	framing Framing
	// left is the number of bytes left in the body or the current chunk.
	left      int64
	inChunk   bool
	inTrailer bool
	ended     bool
}

// Body returns the body that follows a head.
func (r *Reader) Body(framing Framing) *Body {
	body := &Body{reader: r, framing: framing, left: framing.Length}
	body.ended = framing.Kind == FramingNone || (framing.Kind == FramingLength && framing.Length == 0)
	return body
}

// Ended reports whether the whole body was read.
func (b *Body) Ended() bool { return b.ended }

// Next returns the next bytes of the body, valid until the next call, and
// io.EOF once the body is complete. A connection that ends too early gives
// io.ErrUnexpectedEOF; broken framing gives a *ProtocolError.
func (b *Body) Next() ([]byte, error) {
	for !b.ended {
		switch b.framing.Kind {
		case FramingLength:
			return b.takeCounted()
		case FramingClose:
			return b.takeUntilClose()
		default:
			if b.inChunk && b.left > 0 {
				return b.takeCounted()
			}
			if err := b.nextChunk(); err != nil {
				return nil, err
			}
		}
	}
	return nil, io.EOF
}

// takeCounted returns bytes of a counted part.
func (b *Body) takeCounted() ([]byte, error) {
	if err := b.need(1); err != nil {
		return nil, err
	}
	size := min(int64(b.reader.Buffered()), b.left)
	data := b.take(int(size))
	b.left -= size
	if b.left == 0 && b.framing.Kind == FramingLength {
		b.ended = true
	}
	return data, nil
}

// nextChunk reads what stands between the data of two chunks. After a read
// deadline it can be called again.
func (b *Body) nextChunk() error {
	switch {
	case b.inChunk:
		return b.chunkEnd()
	case b.inTrailer:
		return b.trailer()
	default:
		return b.chunkStart()
	}
}

func (b *Body) takeUntilClose() ([]byte, error) {
	if b.reader.Buffered() == 0 {
		if err := b.reader.Fill(readBuffer); err != nil {
			if errors.Is(err, io.EOF) {
				b.ended = true
			}
			return nil, err
		}
	}
	return b.take(b.reader.Buffered()), nil
}

// chunkStart reads the line with the size of a chunk, and the trailer behind
// the last one.
func (b *Body) chunkStart() error {
	line, err := b.line(maxChunkLine)
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, ok := parseHex(digits)
	if !ok {
		return malformed("chunk size", "not a hexadecimal number")
	}
	if size > 0 {
		b.left, b.inChunk = size, true
		return nil
	}
	b.inTrailer = true
	return b.trailer()
}

// trailer reads the fields behind the last chunk, which are dropped.
func (b *Body) trailer() error {
	for {
		field, err := b.line(maxTrailer)
		if err != nil {
			return err
		}
		if len(field) == 0 {
			b.ended = true
			return nil
		}
	}
}

func (b *Body) chunkEnd() error {
	if err := b.need(2); err != nil {
		return err
	}
	end := b.take(2)
	if end[0] != '\r' || end[1] != '\n' {
		return malformed("chunk", "no line end behind its data")
	}
	b.inChunk = false
	return nil
}

// line reads a line without its end, valid until the next read.
func (b *Body) line(limit int) ([]byte, error) {
	searched := 0
	for {
		data := b.reader.buffer[b.reader.start:b.reader.end]
		if index := bytes.IndexByte(data[searched:], '\n'); index >= 0 {
			line := b.take(searched + index + 1)
			if len(line) < 2 || line[len(line)-2] != '\r' || bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
				return nil, malformed("chunk", "a line does not end with CR LF")
			}
			return line[:len(line)-2], nil
		}
		searched = len(data)
		if searched > limit {
			return nil, malformed("chunk", "a line is too long")
		}
		if err := b.need(searched + 1); err != nil {
			return nil, err
		}
	}
}

// need receives until at least count bytes are buffered.
func (b *Body) need(count int) error {
	for b.reader.Buffered() < count {
		if err := b.reader.Fill(readBuffer); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

func (b *Body) take(count int) []byte {
	data := b.reader.buffer[b.reader.start : b.reader.start+count]
	b.reader.start += count
	return data
}

// ReadAll reads the rest of a body of at most limit bytes; a larger one is a
// *ProtocolError with status 413.
func (b *Body) ReadAll(limit int) ([]byte, error) {
	return b.ReadAllReserving(limit, func(int) error { return nil })
}

// ReadReserved is ReadAll that asks for the memory of each part before it is
// kept; an error of reserve ends it.
func (b *Body) ReadAllReserving(limit int, reserve func(bytes int) error) ([]byte, error) {
	if b.framing.Kind == FramingLength && b.framing.Length > int64(limit) {
		return nil, tooLarge()
	}
	var whole []byte
	for {
		data, err := b.Next()
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
		if len(whole)+len(data) > limit {
			return nil, tooLarge()
		}
		if err := reserve(len(data)); err != nil {
			return nil, err
		}
		whole = append(whole, data...)
	}
}

func tooLarge() *ProtocolError {
	return &ProtocolError{Status: statusBodyTooLarge, Field: "body", Reason: "over the size limit"}
}

// parseHex reads a chunk size.
func parseHex(digits []byte) (int64, bool) {
	if len(digits) == 0 || len(digits) > maxChunkDigits {
		return 0, false
	}
	size := int64(0)
	for _, c := range digits {
		switch {
		case c >= '0' && c <= '9':
			size = size<<4 | int64(c-'0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			size = size<<4 | int64((c|0x20)-'a'+10)
		default:
			return 0, false
		}
	}
	return size, true
}
