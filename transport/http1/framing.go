package http1

import (
	"strconv"
	"strings"
)

// FramingKind is the way in which the end of a body is determined.
type FramingKind uint8

// The kinds of framing.
const (
	// FramingNone is a message without a body.
	FramingNone FramingKind = iota
	// FramingLength is a body of known length.
	FramingLength
	// FramingChunked is a body in the chunked coding.
	FramingChunked
	// FramingClose is a body that ends with its connection.
	FramingClose
)

// Framing is the framing of one body.
type Framing struct {
	Kind FramingKind
	// Length is the number of bytes of a FramingLength body.
	Length int64
}

// declaredFraming returns the framing that the fields declare; declared is false
// if they declare none.
func declaredFraming(fields Fields) (framing Framing, declared bool, err error) {
	lengths, codings := fields.Count("Content-Length"), fields.Count("Transfer-Encoding")
	switch {
	case lengths+codings == 0:
		return Framing{}, false, nil
	case lengths+codings > 1:
		return Framing{}, false, malformed("Content-Length, Transfer-Encoding", "more than one framing")
	case codings == 1:
		if !strings.EqualFold(fields.Get("Transfer-Encoding"), "chunked") {
			return Framing{}, false, malformed("Transfer-Encoding", "only chunked is supported")
		}
		return Framing{Kind: FramingChunked}, true, nil
	}
	length, err := parseLength(fields.Get("Content-Length"))
	if err != nil {
		return Framing{}, false, err
	}
	return Framing{Kind: FramingLength, Length: length}, true, nil
}

// parseLength parses a decimal number without a sign.
func parseLength(text string) (int64, error) {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, malformed("Content-Length", "not a decimal number")
		}
	}
	length, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, malformed("Content-Length", "not a decimal number")
	}
	return length, nil
}
