package claim

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// EntryKind is the kind of an entry in a shard's log.
type EntryKind uint8

// The kinds of entries.
const (
	EntryClaim EntryKind = iota + 1
	EntryOutcome
	EntryRelease
)

// Entry is one change of a key. The log of a shard is its segments in order
// followed by the open entries of the head.
type Entry struct {
	Kind    EntryKind
	Key     Key
	Attempt AttemptID
	Hash    BodyHash
	// Expires is when the entry expires, in Unix milliseconds.
	Expires int64
	// Outcome is set in entries of kind EntryOutcome.
	Outcome Outcome
}

// Field numbers of an entry.
const (
	entryFieldKind        = 1
	entryFieldKey         = 2
	entryFieldAttempt     = 3
	entryFieldHash        = 4
	entryFieldExpires     = 5
	entryFieldStatus      = 6
	entryFieldContentType = 7
	entryFieldBody        = 8
	entryFieldBodyOmitted = 9
)

// append appends the entry, encoded as one repeated field of a head or segment.
func (e Entry) append(to []byte) []byte {
	var message []byte
	message = appendVarint(message, entryFieldKind, uint64(e.Kind))
	message = appendBytes(message, entryFieldKey, e.Key[:])
	message = appendVarint(message, entryFieldAttempt, uint64(e.Attempt))
	message = appendVarint(message, entryFieldHash, uint64(e.Hash))
	message = appendVarint(message, entryFieldExpires, uint64(e.Expires))
	if e.Kind == EntryOutcome {
		message = appendVarint(message, entryFieldStatus, uint64(e.Outcome.Status))
		message = appendBytes(message, entryFieldContentType, []byte(e.Outcome.ContentType))
		message = appendBytes(message, entryFieldBody, e.Outcome.Body)
		message = appendVarint(message, entryFieldBodyOmitted, protowire.EncodeBool(e.Outcome.BodyOmitted))
	}
	return appendBytes(to, logFieldEntry, message)
}

func decodeEntry(message []byte) (Entry, error) {
	var entry Entry
	err := eachField(message, func(field fieldValue) {
		switch field.number {
		case entryFieldKind:
			entry.Kind = EntryKind(field.varint)
		case entryFieldKey:
			copy(entry.Key[:], field.bytes)
		case entryFieldAttempt:
			entry.Attempt = AttemptID(field.varint)
		case entryFieldHash:
			entry.Hash = BodyHash(field.varint)
		case entryFieldExpires:
			entry.Expires = int64(field.varint)
		case entryFieldStatus:
			entry.Outcome.Status = int(field.varint)
		case entryFieldContentType:
			entry.Outcome.ContentType = string(field.bytes)
		case entryFieldBody:
			entry.Outcome.Body = append([]byte(nil), field.bytes...)
		case entryFieldBodyOmitted:
			entry.Outcome.BodyOmitted = protowire.DecodeBool(field.varint)
		}
	})
	if err == nil && (entry.Kind < EntryClaim || entry.Kind > EntryRelease) {
		err = fault.Invalid("claims.entry.kind", "unknown kind of entry")
	}
	return entry, err
}

// fieldValue is one decoded protobuf field; only varint or bytes is set.
type fieldValue struct {
	number protowire.Number
	varint uint64
	bytes  []byte
}

// eachField calls visit for every field of a protobuf message.
func eachField(message []byte, visit func(fieldValue)) error {
	for len(message) > 0 {
		number, kind, used := protowire.ConsumeTag(message)
		if used < 0 {
			return fault.Invalid("claims", "malformed object")
		}
		message = message[used:]
		field := fieldValue{number: number}
		switch kind {
		case protowire.VarintType:
			field.varint, used = protowire.ConsumeVarint(message)
		case protowire.BytesType:
			field.bytes, used = protowire.ConsumeBytes(message)
		default:
			used = protowire.ConsumeFieldValue(number, kind, message)
		}
		if used < 0 {
			return fault.Invalid("claims", "malformed object")
		}
		message = message[used:]
		visit(field)
	}
	return nil
}

func appendVarint(to []byte, number protowire.Number, value uint64) []byte {
	to = protowire.AppendTag(to, number, protowire.VarintType)
	return protowire.AppendVarint(to, value)
}

func appendBytes(to []byte, number protowire.Number, value []byte) []byte {
	to = protowire.AppendTag(to, number, protowire.BytesType)
	return protowire.AppendBytes(to, value)
}
