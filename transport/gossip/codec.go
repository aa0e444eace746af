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

// MaxDatagramBytes is the largest datagram taken; it fits into one packet of
// common links.
const MaxDatagramBytes = datagram.MaxBytes

// maxAge bounds the age of a record, so that it can't overflow.
const maxAge = 365 * 24 * time.Hour

// Codec turns digests into authenticated datagrams and back. It is safe for
// concurrent use.
type Codec struct {
	ring *peerauth.KeyRing
}

// NewCodec returns a codec with the given keys.
func NewCodec(ring *peerauth.KeyRing) *Codec { return &Codec{ring: ring} }

// Encode returns the datagram of a digest.
func (c *Codec) Encode(digest membership.Digest) ([]byte, error) {
	message, err := digestMessage(digest)
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "encode digest", err)
	}
	keyID, authenticator := c.ring.Sign(body)
	datagram, err := proto.Marshal(&gossippb.Envelope{KeyId: keyID, Authenticator: authenticator, Digest: body})
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "encode envelope", err)
	}
	if len(datagram) > MaxDatagramBytes {
		return nil, fault.New(fault.PeerMessage, "the digest is over the datagram size")
	}
	return datagram, nil
}

// Decode verifies and reads a datagram. Errors: PeerMessage for a malformed or
// oversized one, PeerUnauthenticated for a forged one.
func (c *Codec) Decode(datagram []byte) (membership.Digest, error) {
	if len(datagram) > MaxDatagramBytes {
		return membership.Digest{}, fault.New(fault.PeerMessage, "the datagram is oversized")
	}
	var envelope gossippb.Envelope
	if err := proto.Unmarshal(datagram, &envelope); err != nil {
		return membership.Digest{}, fault.Wrap(fault.PeerMessage, "gossip", "decode envelope", err)
	}
	if err := c.ring.Verify(envelope.GetKeyId(), envelope.GetDigest(), envelope.GetAuthenticator()); err != nil {
		return membership.Digest{}, err
	}
	var message gossippb.Digest
	if err := proto.Unmarshal(envelope.GetDigest(), &message); err != nil {
		return membership.Digest{}, fault.Wrap(fault.PeerMessage, "gossip", "decode digest", err)
	}
	return digestOf(&message)
}

func digestMessage(digest membership.Digest) (*gossippb.Digest, error) {
	from, err := recordMessage(digest.From)
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
		encoded, err := recordMessage(record)
		if err != nil {
			return nil, err
		}
		message.Records = append(message.Records, encoded)
	}
	for _, notice := range digest.Notices {
		message.Notices = append(message.Notices, noticeMessage(notice))
	}
	for _, report := range digest.Reports {
		message.Reports = append(message.Reports, reportMessage(report))
	}
	return message, nil
}

func digestOf(message *gossippb.Digest) (membership.Digest, error) {
	if kind := message.GetKind(); kind < uint32(membership.Probe) || kind > uint32(membership.Update) {
		return membership.Digest{}, fault.New(fault.PeerMessage, "unknown kind of digest")
	}
	from, err := recordOf(message.GetFrom())
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
		record, err := recordOf(encoded)
		if err != nil {
			return membership.Digest{}, err
		}
		digest.Records = append(digest.Records, record)
	}
	for _, notice := range message.GetNotices() {
		digest.Notices = append(digest.Notices, noticeOf(notice))
	}
	for _, report := range message.GetReports() {
		digest.Reports = append(digest.Reports, reportOf(report))
	}
	return digest, nil
}

func recordMessage(record membership.Record) (*gossippb.Record, error) {
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
		encoded, err := addressBytes(address)
		if err != nil {
			return nil, err
		}
		*targets[i] = encoded
	}
	return message, nil
}

func recordOf(message *gossippb.Record) (membership.Record, error) {
	if message.GetInstance() == "" || message.GetHealth() > uint32(membership.Dead) {
		return membership.Record{}, fault.New(fault.PeerMessage, "a record has no instance or an unknown health")
	}
	peer := settings.Peer{Instance: message.GetInstance(), DataCentre: message.GetDataCentre(), Region: message.GetRegion()}
	targets := []*string{&peer.Gossip, &peer.Peers, &peer.Callers, &peer.Operators}
	for i, encoded := range [][]byte{message.GetGossip(), message.GetPeers(), message.GetCallers(), message.GetOperators()} {
		address, err := addressOf(encoded)
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
		Age:         ageOf(message.GetAgeMilliseconds()),
	}, nil
}

func ageOf(milliseconds uint64) time.Duration {
	if milliseconds > uint64(maxAge.Milliseconds()) {
		return maxAge
	}
	return time.Duration(milliseconds) * time.Millisecond
}

func addressBytes(address string) ([]byte, error) {
	if address == "" {
		return nil, nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "an address is not an IP number with a port", err)
	}
	encoded, err := parsed.MarshalBinary()
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "gossip", "encode address", err)
	}
	return encoded, nil
}

func addressOf(encoded []byte) (string, error) {
	if len(encoded) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(encoded); err != nil || !address.IsValid() {
		return "", fault.New(fault.PeerMessage, "an address is malformed")
	}
	return address.String(), nil
}
