package http1

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxChunkLineBytes is the largest size in bytes of the line before a chunk,
	// extensions included.
	maxChunkLineBytes = 256
	// maxTrailerLineBytes is the largest size in bytes of a field line after the last chunk.
	maxTrailerLineBytes = 4096
	// maxFramingBytes is by how many bytes the chunk lines, chunk ends and trailer lines may exceed
	// the data.
	maxFramingBytes = 256 << 10
	// maxBodyBufferBytes is the largest size in bytes of the buffer for a body.
	maxBodyBufferBytes = 32 << 10
	// maxChunkDigits is the largest number of digits of a chunk size, to fit in 32 bits.
	maxChunkDigits = 7
)

// Body reads and decodes the body of one message.
type Body struct {
	reader  *Reader
	framing Framing
	// remaining is the number of unread bytes of the body or of the current chunk.
	remaining int64
	inChunk   bool
	inTrailer bool
	ended     bool
	// framingBytes is the size of the chunk lines, chunk ends and trailer lines, less that of the data
	// after them; at least 0.
	framingBytes int
	// checkEnd is called at the end of a FramingClose body; nil for no check.
	checkEnd func() error
}

// Body returns the body that follows a head with the given framing.
func (r *Reader) Body(framing Framing) *Body {
	body := &Body{reader: r, framing: framing, remaining: framing.Length}
	body.ended = framing.Kind == FramingNone || (framing.Kind == FramingLength && framing.Length == 0)
	return body
}

// CheckEnd sets a function that is called when a FramingClose body has ended, because such a body has no mark of its
// end. Next returns its error instead of io.EOF.
func (b *Body) CheckEnd(check func() error) { b.checkEnd = check }

// Ended reports whether the body was read to its end.
func (b *Body) Ended() bool { return b.ended }

// Next returns the next bytes of the body, valid until the next call, and
// io.EOF once the body is complete. It returns io.ErrUnexpectedEOF if the
// connection ends before the body, and a *ProtocolError for invalid framing. It
// can be called again after the connection's read deadline has passed.
func (b *Body) Next() ([]byte, error) {
	for !b.ended {
		switch b.framing.Kind {
		case FramingLength:
			return b.readCounted()
		case FramingClose:
			return b.readUntilClose()
		default:
			if b.inChunk && b.remaining > 0 {
				return b.readCounted()
			}
			if err := b.readChunkFraming(); err != nil {
				return nil, err
			}
		}
	}
	return nil, io.EOF
}

// readCounted returns bytes of a body or chunk of known length.
func (b *Body) readCounted() ([]byte, error) {
	if err := b.fill(1); err != nil {
		return nil, err
	}
	size := min(int64(b.reader.Buffered()), b.remaining)
	data := b.consume(int(size))
	b.remaining -= size
	b.framingBytes = max(0, b.framingBytes-int(size))
	if b.remaining == 0 && b.framing.Kind == FramingLength {
		b.ended = true
	}
	return data, nil
}

// readChunkFraming reads a part of the framing between the data of two chunks. It can be called
// again after a read deadline, since inChunk and inTrailer hold the progress.
func (b *Body) readChunkFraming() error {
	switch {
	case b.inChunk:
		return b.readChunkEnd()
	case b.inTrailer:
		return b.readTrailer()
	default:
		return b.readChunkStart()
	}
}

// readUntilClose returns bytes of a body that ends with its connection.
func (b *Body) readUntilClose() ([]byte, error) {
	if b.reader.Buffered() == 0 {
		if err := b.reader.Fill(maxBodyBufferBytes); err != nil {
			return nil, b.endAtClose(err)
		}
	}
	return b.consume(b.reader.Buffered()), nil
}

// endAtClose returns the result of a FramingClose body whose connection returned an error: io.EOF when it is complete.
func (b *Body) endAtClose(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if b.checkEnd != nil {
		if failure := b.checkEnd(); failure != nil {
			return failure
		}
	}
	b.ended = true
	return err
}

// readChunkStart reads the line with the size of a chunk, and the trailer if it is the last chunk.
func (b *Body) readChunkStart() error {
	line, err := b.readLine(maxChunkLineBytes)
	if err != nil {
		return err
	}
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	if !isFieldValue(string(extension)) {
		return malformed("chunk extension", "a control character in it")
	}
	size, ok := parseHex(digits)
	if !ok {
		return malformed("chunk size", "not a hexadecimal number")
	}
	if size > 0 {
		b.remaining, b.inChunk = size, true
		return nil
	}
	b.inTrailer = true
	return b.readTrailer()
}

// readTrailer reads, checks and discards the fields after the last chunk.
func (b *Body) readTrailer() error {
	for {
		line, err := b.readLine(maxTrailerLineBytes)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.ended = true
			return nil
		}
		if _, err := parseField(string(line)); err != nil {
			return err
		}
	}
}

func (b *Body) readChunkEnd() error {
	if err := b.fill(2); err != nil {
		return err
	}
	end := b.consume(2)
	if end[0] != '\r' || end[1] != '\n' {
		return malformed("chunk", "no line end after its data")
	}
	b.inChunk = false
	b.framingBytes += len(end)
	return nil
}

// readLine reads a line and returns it without its line end, valid until the next read.
func (b *Body) readLine(limit int) ([]byte, error) {
	searched := 0
	for {
		data := b.reader.buffer[b.reader.start:b.reader.end]
		if index := bytes.IndexByte(data[searched:], '\n'); index >= 0 {
			line := b.consume(searched + index + 1)
			if b.framingBytes += len(line); b.framingBytes > maxFramingBytes {
				return nil, malformed("chunk", "more framing than data")
			}
			if len(line) < 2 || line[len(line)-2] != '\r' || bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
				return nil, malformed("chunk", "a line does not end with CR LF")
			}
			return line[:len(line)-2], nil
		}
		searched = len(data)
		if searched > limit {
			return nil, malformed("chunk", "a line is too long")
		}
		if err := b.fill(searched + 1); err != nil {
			return nil, err
		}
	}
}

// fill reads from the connection until at least count bytes are buffered.
func (b *Body) fill(count int) error {
	for b.reader.Buffered() < count {
		if err := b.reader.Fill(maxBodyBufferBytes); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// consume removes count bytes from the buffer and returns them.
func (b *Body) consume(count int) []byte {
	data := b.reader.buffer[b.reader.start : b.reader.start+count]
	b.reader.start += count
	return data
}

// ReadAll reads the rest of the body. It returns a *ProtocolError with status 413
// if that is over limit bytes.
func (b *Body) ReadAll(limit int) ([]byte, error) {
	return b.ReadAllReserving(limit, func(int) error { return nil })
}

// reservedBytes is the size in bytes that ReadAllReserving reserves at least at a time.
const reservedBytes = 1 << 10

// ReadAllReserving is like ReadAll but calls reserve with a size in bytes before it keeps as much
// more of the body in memory. It returns the first error of reserve.
func (b *Body) ReadAllReserving(limit int, reserve func(bytes int) error) ([]byte, error) {
	if b.framing.Kind == FramingLength && b.framing.Length > int64(limit) {
		return nil, tooLarge()
	}
	var body []byte
	reserved := 0
	for {
		data, err := b.Next()
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body)+len(data) > limit {
			return nil, tooLarge()
		}
		if missing := len(body) + len(data) - reserved; missing > 0 {
			missing = max(missing, min(reservedBytes, limit-reserved))
			if err := reserve(missing); err != nil {
				return nil, err
			}
			reserved += missing
		}
		body = append(body, data...)
	}
}

func tooLarge() *ProtocolError {
	return &ProtocolError{Status: statusBodyTooLarge, Field: "body", Reason: "exceeds the size limit"}
}

// parseHex parses a chunk size. It returns false if the size is malformed or has
// more than maxChunkDigits digits.
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
