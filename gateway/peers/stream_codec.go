package peers

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Protobuf field numbers of a group of stream records with the same version.
const (
	tagGroupVersion protowire.Number = iota + 1
	tagGroupKeys
)

// keyBytes is the size of an encoded stream key.
const keyBytes = 8

// maxVersionBytes bounds the software version in a stream record.
const maxVersionBytes = 128

// appendStreamRecords appends records in groups of the same version.
func appendStreamRecords(b []byte, records []streamversion.Record) []byte {
	groups := make(map[string][]streamversion.Key)
	var versions []string
	for _, record := range records {
		if len(record.Version) > maxVersionBytes {
			continue
		}
		if groups[record.Version] == nil {
			versions = append(versions, record.Version)
		}
		groups[record.Version] = append(groups[record.Version], record.Key)
	}
	for _, version := range versions {
		group := appendText(nil, tagGroupVersion, version)
		group = protowire.AppendBytes(protowire.AppendTag(group, tagGroupKeys, protowire.BytesType), encodeKeys(groups[version]))
		b = appendIfFits(b, tagStreamRecords, group)
	}
	return b
}

func encodeKeys(keys []streamversion.Key) []byte {
	packed := make([]byte, 0, keyBytes*len(keys))
	for _, key := range keys {
		packed = binary.LittleEndian.AppendUint64(packed, uint64(key))
	}
	return packed
}

// decodeKeys decodes packed keys. Errors have the code PeerMessage.
func decodeKeys(packed []byte) ([]streamversion.Key, error) {
	if len(packed)%keyBytes != 0 {
		return nil, fault.New(fault.PeerMessage, "stream keys: not a multiple of eight bytes")
	}
	keys := make([]streamversion.Key, 0, len(packed)/keyBytes)
	for ; len(packed) > 0; packed = packed[keyBytes:] {
		keys = append(keys, streamversion.Key(binary.LittleEndian.Uint64(packed)))
	}
	return keys, nil
}

func (d *Digest) decodeStreamRecords(group []byte) error {
	version, keys := "", []streamversion.Key(nil)
	err := eachField(group, func(tag protowire.Number, _ uint64, text []byte) (err error) {
		switch tag {
		case tagGroupVersion:
			version = string(text)
		case tagGroupKeys:
			keys, err = decodeKeys(text)
		}
		return err
	})
	if err == nil && (version == "" || len(version) > maxVersionBytes) {
		err = fault.New(fault.PeerMessage, "stream records: the software version is missing or too long")
	}
	if err != nil {
		return err
	}
	for _, key := range keys {
		d.StreamRecords = append(d.StreamRecords, streamversion.Record{Key: key, Version: version})
	}
	return nil
}
