package gossip

import (
	"net/netip"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

// Receiver receives verified digests. The event loop calls it, so it must not
// block. Bytes is the size of the datagram with its headers.
type Receiver func(digest membership.Digest, bytes int)

// Transport sends and receives digests on one UDP address.
type Transport struct {
	*datagram.Transport
	codec    *Codec
	counters counters
}

// Listen opens the UDP address, "ip:port", and calls receive for each verified digest.
func Listen(address string, codec *Codec, receive Receiver) (*Transport, error) {
	t := &Transport{codec: codec}
	var err error
	t.Transport, err = datagram.Listen(address, func(_ *datagram.Transport, payload []byte, _ netip.AddrPort) { t.receive(payload, receive) })
	if err != nil {
		return nil, err
	}
	return t, nil
}

// receive decodes one datagram and passes its digest on, or counts the failure.
func (t *Transport) receive(payload []byte, receive Receiver) {
	digest, err := t.codec.Decode(payload)
	switch {
	case err == nil:
		receive(digest, len(payload)+membership.DatagramHeaderBytes)
	case fault.HasCode(err, fault.PeerUnauthenticated):
		t.counters.unauthenticated.Add(1)
	default:
		t.counters.malformed.Add(1)
	}
}

// Counters returns the current counters.
func (t *Transport) Counters() Counters { return t.counters.combined(t.Transport.Counters()) }

// Send sends one digest. A digest that can't be sent is counted and discarded,
// since any datagram may be lost anyway.
func (t *Transport) Send(address string, digest membership.Digest) {
	payload, err := t.codec.Encode(digest)
	if err != nil {
		t.counters.encodeFailed.Add(1)
		return
	}
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		t.counters.invalidAddress.Add(1)
		return
	}
	t.Transport.Send(target, payload)
}
