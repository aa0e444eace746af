package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip/gossippb"
)

// EncodeRecords encodes any number of records without an authenticator, for a
// connection that is authenticated itself. Errors are PeerMessage.
func EncodeRecords(records []membership.Record) ([]byte, error) {
	message := &gossippb.Digest{}
	for _, record := range records {
		encoded, err := recordToProto(record)
		if err != nil {
			return nil, err
		}
		message.Records = append(message.Records, encoded)
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "encode records", err)
	}
	return body, nil
}

// DecodeRecords decodes the output of EncodeRecords. Errors are PeerMessage.
func DecodeRecords(body []byte) ([]membership.Record, error) {
	var message gossippb.Digest
	if err := proto.Unmarshal(body, &message); err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "decode records", err)
	}
	records := make([]membership.Record, 0, len(message.GetRecords()))
	for _, encoded := range message.GetRecords() {
		record, err := recordFromProto(encoded)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
