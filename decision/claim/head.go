package claim

import "github.com/wisteriahaven/wisteriahaven/fault"

// SegmentID identifies one immutable segment of a shard.
type SegmentID uint64

// SegmentRef is a head's reference to a segment.
type SegmentRef struct {
	ID SegmentID
	// Expires is the latest expiry of the segment's entries, in Unix
	// milliseconds.
	Expires int64
}

// Head is the decoded value of a shard's head object.
type Head struct {
	Segments []SegmentRef
	// Open holds the encoded entries that are in no segment yet.
	Open []byte
}

// Field numbers of a head and of a segment, which has entries only.
const (
	logFieldEntry   = 1
	logFieldSegment = 2

	segmentFieldID      = 1
	segmentFieldExpires = 2
)

// Encode returns the value of the head object.
func (h Head) Encode() []byte {
	var value []byte
	for _, segment := range h.Segments {
		var message []byte
		message = appendVarint(message, segmentFieldID, uint64(segment.ID))
		message = appendVarint(message, segmentFieldExpires, uint64(segment.Expires))
		value = appendBytes(value, logFieldSegment, message)
	}
	return append(value, h.Open...)
}

// DecodeHead decodes the value of a head object. It fails on unknown fields.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	var failure error
	err := eachField(value, func(field fieldValue) {
		switch field.number {
		case logFieldSegment:
			segment, err := decodeSegmentRef(field.bytes)
			if err != nil {
				failure = err
			}
			head.Segments = append(head.Segments, segment)
		case logFieldEntry:
			head.Open = appendBytes(head.Open, logFieldEntry, field.bytes)
		default:
			failure = fault.Invalid("claims.head", "unknown field")
		}
	})
	if err == nil {
		err = failure
	}
	return head, err
}

func decodeSegmentRef(message []byte) (SegmentRef, error) {
	var segment SegmentRef
	err := eachField(message, func(field fieldValue) {
		switch field.number {
		case segmentFieldID:
			segment.ID = SegmentID(field.varint)
		case segmentFieldExpires:
			segment.Expires = int64(field.varint)
		}
	})
	return segment, err
}

// DecodeEntries decodes the entries of a segment or of a head's open part.
// Other fields are skipped.
func DecodeEntries(encoded []byte) ([]Entry, error) {
	var entries []Entry
	var failure error
	err := eachField(encoded, func(field fieldValue) {
		if field.number != logFieldEntry {
			return
		}
		entry, err := decodeEntry(field.bytes)
		if err != nil {
			failure = err
		}
		entries = append(entries, entry)
	})
	if err == nil {
		err = failure
	}
	return entries, err
}
