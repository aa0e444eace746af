package datagram

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// MaxBytes is the largest datagram taken; it fits into one packet of common
// links.
const MaxBytes = 1200

// stopTimeout bounds the end of the event loop.
const stopTimeout = 5 * time.Second

// Receiver takes datagrams, which are valid during the call. Calls come from
// the event loop and must not block. They may come before Listen returns: an
// answer goes through the transport that they name.
type Receiver func(transport *Transport, payload []byte, from netip.AddrPort)

// Transport sends and receives datagrams on one UDP address.
type Transport struct {
	counters counters
	engine   gnet.Engine
	socket   net.PacketConn
	// opened is closed when the transport can send.
	opened  chan struct{}
	stopped chan struct{}
}

// Listen opens the UDP address, "ip:port", and hands what arrives to receive.
// Errors are *fault.Error.
func Listen(address string, receive Receiver) (*Transport, error) {
	address, err := freeAddress(address)
	if err != nil {
		return nil, err
	}
	t := &Transport{opened: make(chan struct{}), stopped: make(chan struct{})}
	handler := &handler{transport: t, receive: receive, booted: make(chan gnet.Engine, 1)}
	failed := make(chan error, 1)
	go func() {
		defer close(t.stopped)
		failed <- gnet.Run(handler, "udp://"+address, gnet.WithNumEventLoop(1), gnet.WithLogger(quietLogger{}))
	}()
	select {
	case t.engine = <-handler.booted:
	case err := <-failed:
		return nil, fault.Wrap(fault.SettingsInvalid, "datagram", "listen on "+address, err)
	}
	err = t.openSocket()
	close(t.opened)
	if err != nil {
		_ = t.Close()
		return nil, err
	}
	return t, nil
}

// freeAddress returns the address with a port that nobody else has. The event
// loop's socket would share the port of another one silently, also one that
// the system picked, and one of both would receive nothing.
func freeAddress(address string) (string, error) {
	probe, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", fault.Wrap(fault.SettingsInvalid, "datagram", "listen on "+address, err)
	}
	defer func() { _ = probe.Close() }()
	return probe.LocalAddr().String(), nil
}

// openSocket opens the event loop's socket a second time for sending from
// other goroutines.
func (t *Transport) openSocket() error {
	descriptor, err := t.engine.Dup()
	if err != nil {
		return fault.Wrap(fault.Internal, "datagram", "open the socket for sending", err)
	}
	file := os.NewFile(uintptr(descriptor), "datagram")
	defer func() { _ = file.Close() }()
	t.socket, err = net.FilePacketConn(file)
	if err != nil {
		return fault.Wrap(fault.Internal, "datagram", "open the socket for sending", err)
	}
	return nil
}

// Address returns the address the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Counters returns what the transport counted.
func (t *Transport) Counters() Counters { return t.counters.copy() }

// Send sends one datagram. One that can't be sent is counted and lost, as any
// datagram may be.
func (t *Transport) Send(to netip.AddrPort, payload []byte) {
	if _, err := t.socket.WriteTo(payload, net.UDPAddrFromAddrPort(to)); err != nil {
		t.counters.sendFailed.Add(1)
		return
	}
	t.counters.sent.Add(1)
	t.counters.sentBytes.Add(uint64(len(payload)))
}

// Close ends the event loop and waits for it.
func (t *Transport) Close() error {
	if t.socket != nil {
		_ = t.socket.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	ended := make(chan struct{})
	var failure error
	go func() {
		defer close(ended)
		failure = t.engine.Stop(ctx)
	}()
	select {
	case <-t.stopped:
		// The library would look for its own end only every half second.
		cancel()
		<-ended
		return nil
	case <-ended:
	}
	if failure != nil {
		return fault.Wrap(fault.Internal, "datagram", "stop the event loop", failure)
	}
	<-t.stopped
	return nil
}
