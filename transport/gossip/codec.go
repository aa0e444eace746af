package gossip

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip/gossippb"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

// MaxDatagramBytes is the size of the largest datagram that is sent or accepted;
// it fits into one packet on common links.
const MaxDatagramBytes = datagram.MaxBytes

// maxRecordAge is the largest age of a received record; a larger one could overflow time.Duration.
const maxRecordAge = 365 * 24 * time.Hour

// Codec encodes digests as authenticated datagrams and decodes them. It is safe
// for concurrent use.
type Codec struct {
	keyRing *peerauth.KeyRing
}

// NewCodec returns a codec that signs and verifies with the given keys.
func NewCodec(keyRing *peerauth.KeyRing) *Codec { return &Codec{keyRing: keyRing} }

// Encode returns the datagram of a digest. Errors are PeerMessage for an address
// that is not "ip:port" and for a datagram over MaxDatagramBytes.
func (c *Codec) Encode(digest membership.Digest) ([]byte, error) {
	message, err := digestToProto(digest)
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "encode digest", err)
	}
	keyID, authenticator := c.keyRing.Sign(body)
	datagram, err := proto.Marshal(&gossippb.Envelope{KeyId: keyID, Authenticator: authenticator, Digest: body})
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "encode envelope", err)
	}
	if len(datagram) > MaxDatagramBytes {
		return nil, fault.New(fault.PeerMessage, "the digest exceeds the datagram size")
	}
	return datagram, nil
}

// Decode verifies and decodes a datagram. Errors are PeerMessage for a malformed
// or oversized one, PeerUnauthenticated for a forged one.
func (c *Codec) Decode(datagram []byte) (membership.Digest, error) {
	if len(datagram) > MaxDatagramBytes {
		return membership.Digest{}, fault.New(fault.PeerMessage, "the datagram is oversized")
	}
	var envelope gossippb.Envelope
	if err := proto.Unmarshal(datagram, &envelope); err != nil {
		return membership.Digest{}, fault.Wrap(fault.PeerMessage, "gossip", "decode envelope", err)
	}
	if err := c.keyRing.Verify(envelope.GetKeyId(), envelope.GetDigest(), envelope.GetAuthenticator()); err != nil {
		return membership.Digest{}, err
	}
	var message gossippb.Digest
	if err := proto.Unmarshal(envelope.GetDigest(), &message); err != nil {
		return membership.Digest{}, fault.Wrap(fault.PeerMessage, "gossip", "decode digest", err)
	}
	return digestFromProto(&message)
}

func digestToProto(digest membership.Digest) (*gossippb.Digest, error) {
	from, err := recordToProto(digest.From)
	if err != nil {
		return nil, err
	}
	message := &gossippb.Digest{
		Kind:     uint32(digest.Kind),
		From:     from,
		To:       digest.To,
		Sequence: digest.Sequence,
		Answers:  digest.ProbeSequence,
	}
	for _, record := range digest.Records {
		encoded, err := recordToProto(record)
		if err != nil {
			return nil, err
		}
		message.Records = append(message.Records, encoded)
	}
	for _, notice := range digest.Notices {
		message.Notices = append(message.Notices, noticeToProto(notice))
	}
	for _, report := range digest.Reports {
		message.Reports = append(message.Reports, reportToProto(report))
	}
	return message, nil
}

func digestFromProto(message *gossippb.Digest) (membership.Digest, error) {
	if kind := message.GetKind(); kind < uint32(membership.Probe) || kind > uint32(membership.Update) {
		return membership.Digest{}, fault.New(fault.PeerMessage, "unknown kind of digest")
	}
	from, err := recordFromProto(message.GetFrom())
	if err != nil {
		return membership.Digest{}, err
	}
	digest := membership.Digest{
		Kind:          membership.DigestKind(message.GetKind()),
		From:          from,
		To:            message.GetTo(),
		Sequence:      message.GetSequence(),
		ProbeSequence: message.GetAnswers(),
	}
	for _, encoded := range message.GetRecords() {
		record, err := recordFromProto(encoded)
		if err != nil {
			return membership.Digest{}, err
		}
		digest.Records = append(digest.Records, record)
	}
	for _, notice := range message.GetNotices() {
		digest.Notices = append(digest.Notices, noticeFromProto(notice))
	}
	for _, report := range message.GetReports() {
		digest.Reports = append(digest.Reports, reportFromProto(report))
	}
	return digest, nil
}

func recordToProto(record membership.Record) (*gossippb.Record, error) {
	message := &gossippb.Record{
		Instance:        record.Peer.Instance,
		DataCentre:      record.Peer.DataCentre,
		Region:          record.Peer.Region,
		Incarnation:     record.Incarnation,
		Health:          uint32(record.Health),
		Leaving:         record.Leaving,
		Revision:        record.Revision,
		AgeMilliseconds: uint64(max(0, record.Age).Milliseconds()),
	}
	targets := []*[]byte{&message.Gossip, &message.Peers, &message.Callers, &message.Operators}
	for i, address := range []string{record.Peer.Gossip, record.Peer.Peers, record.Peer.Callers, record.Peer.Operators} {
		encoded, err := encodeAddress(address)
		if err != nil {
			return nil, err
		}
		*targets[i] = encoded
	}
	return message, nil
}

func recordFromProto(message *gossippb.Record) (membership.Record, error) {
	if message.GetInstance() == "" || message.GetHealth() > uint32(membership.Dead) {
		return membership.Record{}, fault.New(fault.PeerMessage, "a record has no instance or an unknown health")
	}
	peer := settings.Peer{Instance: message.GetInstance(), DataCentre: message.GetDataCentre(), Region: message.GetRegion()}
	targets := []*string{&peer.Gossip, &peer.Peers, &peer.Callers, &peer.Operators}
	for i, encoded := range [][]byte{message.GetGossip(), message.GetPeers(), message.GetCallers(), message.GetOperators()} {
		address, err := decodeAddress(encoded)
		if err != nil {
			return membership.Record{}, err
		}
		*targets[i] = address
	}
	return membership.Record{
		Peer:        peer,
		Incarnation: message.GetIncarnation(),
		Health:      membership.Health(message.GetHealth()),
		Leaving:     message.GetLeaving(),
		Revision:    message.GetRevision(),
		Age:         decodeAge(message.GetAgeMilliseconds()),
	}, nil
}

func decodeAge(milliseconds uint64) time.Duration {
	if milliseconds > uint64(maxRecordAge.Milliseconds()) {
		return maxRecordAge
	}
	return time.Duration(milliseconds) * time.Millisecond
}

func encodeAddress(address string) ([]byte, error) {
	if address == "" {
		return nil, nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "an address is not an IP address with a port", err)
	}
	encoded, err := parsed.MarshalBinary()
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "encode address", err)
	}
	return encoded, nil
}

func decodeAddress(encoded []byte) (string, error) {
	if len(encoded) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(encoded); err != nil || !address.IsValid() {
		return "", fault.New(fault.PeerMessage, "an address is malformed")
	}
	return address.String(), nil
}
