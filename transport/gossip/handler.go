package gossip

import (
	"github.com/panjf2000/gnet/v2"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// handler takes the events of gnet.
type handler struct {
	gnet.BuiltinEventEngine
	transport *Transport
	receive   Receiver
	booted    chan gnet.Engine
}

// OnBoot implements gnet.EventHandler.
func (h *handler) OnBoot(engine gnet.Engine) gnet.Action {
	h.booted <- engine
	return gnet.None
}

// OnTraffic implements gnet.EventHandler: one datagram arrived.
func (h *handler) OnTraffic(conn gnet.Conn) gnet.Action {
	counters := &h.transport.counters
	datagram, err := conn.Next(-1)
	if err != nil {
		counters.malformed.Add(1)
		return gnet.None
	}
	counters.received.Add(1)
	counters.receivedBytes.Add(uint64(len(datagram)))
	if len(datagram) > MaxDatagramBytes {
		counters.oversized.Add(1)
		return gnet.None
	}
	digest, err := h.transport.codec.Decode(datagram)
	switch {
	case err == nil:
		h.receive(digest, len(datagram)+membership.DatagramHeaderBytes)
	case fault.HasCode(err, fault.PeerUnauthenticated):
		counters.unauthenticated.Add(1)
	default:
		counters.malformed.Add(1)
	}
	return gnet.None
}
