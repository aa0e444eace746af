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

// MaxBytes is the size of the largest datagram that is accepted; it fits into one
// packet on common links.
const MaxBytes = 1200

// stopTimeout is the longest time that stopping the event loop may take.
const stopTimeout = 5 * time.Second

// Receiver receives datagrams, whose payload is valid during the call only. The
// event loop calls it, so it must not block. It may be called before Listen
// returns: a reply must be sent through the transport passed to it.
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

// Listen opens the UDP address, "ip:port", and calls receive for each datagram
// that arrives. Errors are *fault.Error.
func Listen(address string, receive Receiver) (*Transport, error) {
	address, err := findUnusedAddress(address)
	if err != nil {
		return nil, err
	}
	t := &Transport{opened: make(chan struct{}), stopped: make(chan struct{})}
	handler := &handler{transport: t, receive: receive, booted: make(chan gnet.Engine, 1)}
	failed := make(chan error, 1)
	go func() {
		defer close(t.stopped)
		failed <- gnet.Run(handler, "udp://"+address, gnet.WithNumEventLoop(1), gnet.WithLogger(discardLogger{}))
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

// findUnusedAddress returns the address with a port that no other socket uses. Without this check,
// the event loop's socket would silently share a port with another socket, even a port that the
// system chose, and one of the two would receive nothing.
func findUnusedAddress(address string) (string, error) {
	probe, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", fault.Wrap(fault.SettingsInvalid, "datagram", "listen on "+address, err)
	}
	defer func() { _ = probe.Close() }()
	return probe.LocalAddr().String(), nil
}

// openSocket duplicates the event loop's socket, so that other goroutines can send on it.
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

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Counters returns the current counters.
func (t *Transport) Counters() Counters { return t.counters.snapshot() }

// Send sends one datagram. A datagram that can't be sent is counted and
// discarded, since any datagram may be lost anyway.
func (t *Transport) Send(to netip.AddrPort, payload []byte) {
	if _, err := t.socket.WriteTo(payload, net.UDPAddrFromAddrPort(to)); err != nil {
		t.counters.sendFailed.Add(1)
		return
	}
	t.counters.sent.Add(1)
	t.counters.sentBytes.Add(uint64(len(payload)))
}

// Close stops the event loop and waits for its end. It returns an error if the
// loop does not stop within stopTimeout.
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
		// gnet's Stop would notice the end of the loop only at its next check, which
		// it makes every half second.
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
