package cursor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Bounds of the encoding.
const (
	formatVersion = 1
	// tagSize is the length of the truncated authentication tag in bytes.
	tagSize = 16
	// maxEncodedSize bounds a cursor in characters.
	maxEncodedSize = 2048
	// maxOffset bounds the offset of a cursor in tokens.
	maxOffset = 1 << 31
)

// Codec signs and verifies cursors. It reuses its buffers and is not safe for
// concurrent use: each generation has its own.
type Codec struct {
	keys   *Keys
	signer hash.Hash
	buffer []byte
	text   []byte
}

// NewCodec returns a codec that signs with the active key.
func NewCodec(keys *Keys) *Codec {
	return &Codec{keys: keys, signer: hmac.New(sha256.New, keys.secrets[keys.active])}
}

// Encode returns the signed cursor of a position.
func (c *Codec) Encode(position *Position) string {
	c.buffer = appendPosition(c.buffer[:0], c.keys.active, position)
	c.signer.Reset()
	_, _ = c.signer.Write(c.buffer)
	signed := len(c.buffer)
	c.buffer = c.signer.Sum(c.buffer)[:signed+tagSize]
	c.text = base64.RawURLEncoding.AppendEncode(c.text[:0], c.buffer)
	return string(c.text)
}

// Decode verifies a cursor and returns its position. Errors carry
// CursorInvalid.
func (c *Codec) Decode(text string) (Position, error) {
	if len(text) > maxEncodedSize {
		return Position{}, invalid("the cursor is too long")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < tagSize {
		return Position{}, invalid("the cursor is not base64url")
	}
	signed, tag := raw[:len(raw)-tagSize], raw[len(raw)-tagSize:]
	reader := &reader{remaining: signed}
	if reader.byte() != formatVersion {
		return Position{}, invalid("the cursor has an unknown format")
	}
	secret, ok := c.keys.secrets[reader.string()]
	if reader.failed || !ok {
		return Position{}, invalid("the cursor is signed with an unknown key")
	}
	check := hmac.New(sha256.New, secret)
	_, _ = check.Write(signed)
	if !hmac.Equal(check.Sum(nil)[:tagSize], tag) {
		return Position{}, invalid("the cursor's signature is wrong")
	}
	position := reader.position()
	if reader.failed || len(reader.remaining) != 0 {
		return Position{}, invalid("the cursor's content is malformed")
	}
	return position, nil
}

func invalid(reason string) error { return fault.New(fault.CursorInvalid, reason) }

func appendPosition(buffer []byte, keyID string, p *Position) []byte {
	buffer = append(buffer, formatVersion)
	buffer = appendString(buffer, keyID)
	buffer = append(buffer, p.Request[:]...)
	for _, field := range [...]string{p.Server, p.StreamID, p.BootID, p.Model, p.Version} {
		buffer = appendString(buffer, field)
	}
	buffer = binary.LittleEndian.AppendUint64(buffer, p.Seed)
	buffer = binary.AppendUvarint(buffer, uint64(p.Attempt))
	buffer = binary.AppendUvarint(buffer, uint64(p.Offset))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(p.Hash))
	buffer = binary.AppendUvarint(buffer, uint64(p.AnchorOffset))
	return binary.LittleEndian.AppendUint64(buffer, uint64(p.AnchorHash))
}

func appendString(buffer []byte, text string) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}

func (r *reader) position() Position {
	var p Position
	copy(p.Request[:], r.bytes(fingerprintSize))
	for _, field := range [...]*string{&p.Server, &p.StreamID, &p.BootID, &p.Model, &p.Version} {
		*field = r.string()
	}
	p.Seed = r.uint64()
	p.Attempt = uint32(r.uvarint())
	p.Offset = int(r.uvarint())
	p.Hash = rollinghash.Hash(r.uint64())
	p.AnchorOffset = int(r.uvarint())
	p.AnchorHash = rollinghash.Hash(r.uint64())
	if p.AnchorOffset > p.Offset {
		r.failed = true
	}
	return p
}
