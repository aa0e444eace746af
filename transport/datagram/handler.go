package datagram

import (
	"net"
	"net/netip"

	"github.com/panjf2000/gnet/v2"
)

// handler handles the events of gnet for a transport.
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

// OnTraffic implements gnet.EventHandler; gnet calls it for each datagram.
func (h *handler) OnTraffic(conn gnet.Conn) gnet.Action {
	<-h.transport.opened
	if h.transport.socket == nil {
		return gnet.Shutdown // Listen failed.
	}
	counters := &h.transport.counters
	payload, err := conn.Next(-1)
	if err != nil {
		counters.malformed.Add(1)
		return gnet.None
	}
	counters.received.Add(1)
	counters.receivedBytes.Add(uint64(len(payload)))
	if len(payload) > MaxBytes {
		counters.oversized.Add(1)
		return gnet.None
	}
	var from netip.AddrPort
	if address, ok := conn.RemoteAddr().(*net.UDPAddr); ok {
		from = address.AddrPort()
	}
	h.receive(h.transport, payload, from)
	return gnet.None
}
