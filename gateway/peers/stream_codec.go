package peers

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Protobuf field numbers of a group of stream records with the same origin.
const (
	tagGroupVersion protowire.Number = iota + 1
	tagGroupKeys
	tagGroupService
)

// maxOriginBytes bounds the service and the software version in a stream record, each.
const maxOriginBytes = 128

// appendStreamRecords appends records in groups of the same origin.
func appendStreamRecords(b []byte, records []streamversion.Record) []byte {
	groups := make(map[streamversion.Origin][]streamversion.Key)
	var origins []streamversion.Origin
	for _, record := range records {
		if len(record.Service) > maxOriginBytes || len(record.Version) > maxOriginBytes {
			continue
		}
		if groups[record.Origin] == nil {
			origins = append(origins, record.Origin)
		}
		groups[record.Origin] = append(groups[record.Origin], record.Key)
	}
	for _, origin := range origins {
		group := appendText(appendText(nil, tagGroupService, origin.Service), tagGroupVersion, origin.Version)
		group = protowire.AppendBytes(protowire.AppendTag(group, tagGroupKeys, protowire.BytesType), encodeKeys(groups[origin]))
		b = appendIfFits(b, tagStreamRecords, group)
	}
	return b
}

func (d *Digest) decodeStreamRecords(group []byte) error {
	var origin streamversion.Origin
	var keys []streamversion.Key
	err := eachField(group, func(tag protowire.Number, _ uint64, text []byte) (err error) {
		switch tag {
		case tagGroupService:
			origin.Service = string(text)
		case tagGroupVersion:
			origin.Version = string(text)
		case tagGroupKeys:
			keys, err = decodeKeys[streamversion.Key](text)
		}
		return err
	})
	if err != nil {
		return err
	}
	for _, text := range []string{origin.Service, origin.Version} {
		if text == "" || len(text) > maxOriginBytes {
			return fault.New(fault.PeerMessage, "stream records: the service or the software version is missing or too long")
		}
	}
	for _, key := range keys {
		d.StreamRecords = append(d.StreamRecords, streamversion.Record{Key: key, Origin: origin})
	}
	return nil
}
