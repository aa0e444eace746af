package cursor

import "encoding/binary"

// reader reads fields from a byte slice; after a failure it returns zero values.
type reader struct {
	remaining []byte
	failed    bool
}

func (r *reader) bytes(size int) []byte {
	if r.failed || size > len(r.remaining) {
		r.failed = true
		return nil
	}
	taken := r.remaining[:size]
	r.remaining = r.remaining[size:]
	return taken
}

func (r *reader) byte() byte {
	if taken := r.bytes(1); taken != nil {
		return taken[0]
	}
	return 0
}

// uvarint reads a number, which must be below maxOffset.
func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.remaining)
	if r.failed || size <= 0 || value >= maxOffset {
		r.failed = true
		return 0
	}
	r.remaining = r.remaining[size:]
	return value
}

func (r *reader) uint64() uint64 {
	if taken := r.bytes(8); taken != nil {
		return binary.LittleEndian.Uint64(taken)
	}
	return 0
}

func (r *reader) string() string { return string(r.bytes(int(r.uvarint()))) }
