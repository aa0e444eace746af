package gossip_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
)

func TestTransportDeliversAndCountsBadDatagrams(t *testing.T) {
	is := is.New(t)
	codec := gossip.NewCodec(newKeyRing(t, "k1"))
	received := make(chan membership.Digest, 4)
	receiver, err := gossip.Listen("127.0.0.1:0", codec, func(digest membership.Digest, _ int) { received <- digest })
	is.NoErr(err)
	sender, err := gossip.Listen("127.0.0.1:0", codec, func(membership.Digest, int) {})
	is.NoErr(err)

	raw, err := net.Dial("udp", receiver.Address())
	is.NoErr(err)
	digest := membership.Digest{Kind: membership.Update, From: membership.Record{Peer: settings.Peer{Instance: "a"}}, To: "b", Sequence: 7}
	valid, err := codec.Encode(digest)
	is.NoErr(err)
	forged := append([]byte{}, valid...)
	forged[len(forged)-1] ^= 1
	for _, datagram := range [][]byte{make([]byte, gossip.MaxDatagramBytes+1), forged, valid[:len(valid)/2], {}, {0xff}} {
		_, err = raw.Write(datagram)
		is.NoErr(err)
	}
	sender.Send(receiver.Address(), digest)
	is.Equal(<-received, digest)

	counters := receiver.Counters()
	is.Equal(counters.Oversized, uint64(1))
	is.True(counters.Unauthenticated >= 1)
	is.Equal(counters.Unauthenticated+counters.Malformed, uint64(4))
	is.Equal(sender.Counters().Sent, uint64(1))
	sender.Send("not an address", digest)
	is.Equal(sender.Counters().SendFailed, uint64(1))

	is.NoErr(raw.Close())
	is.NoErr(sender.Close())
	is.NoErr(receiver.Close())
}

func TestAddressInUseIsAnError(t *testing.T) {
	is := is.New(t)
	codec := gossip.NewCodec(newKeyRing(t, "k1"))
	occupied, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	_, err = gossip.Listen(occupied.LocalAddr().String(), codec, func(membership.Digest, int) {})
	is.True(err != nil)
	is.NoErr(occupied.Close())
}

func TestTwoTransportsNeverShareAnAddress(t *testing.T) {
	is := is.New(t)
	codec := gossip.NewCodec(newKeyRing(t, "k1"))
	first, err := gossip.Listen("127.0.0.1:0", codec, func(membership.Digest, int) {})
	is.NoErr(err)
	_, err = gossip.Listen(first.Address(), codec, func(membership.Digest, int) {})
	is.True(err != nil)
	is.NoErr(first.Close())
}
