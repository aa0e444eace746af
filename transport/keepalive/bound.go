package keepalive

import (
	"net"
	"syscall"
	"time"
)

// Bound is how a connection over a lost path fails.
type Bound struct {
	// Idle is the time without received bytes until the first probe, Interval the one between probes.
	Idle     time.Duration
	Interval time.Duration
	// Timeout is the time without an acknowledgement, or with a peer that doesn't read, until the
	// connection fails. Probes give up at the same time.
	Timeout time.Duration
}

var (
	// Outgoing is the bound of connections that this process opens.
	Outgoing = Bound{Idle: time.Second, Interval: time.Second, Timeout: 3 * time.Second}
	// Accepted is the bound of connections that others open. It is no shorter than the time that
	// a client may take to read.
	Accepted = Bound{Idle: 4 * time.Second, Interval: 2 * time.Second, Timeout: 10 * time.Second}
)

// probes returns the configuration of the probes. Their count applies only where the timeout can't be set.
func (b Bound) probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: b.Idle, Interval: b.Interval, Count: int((b.Timeout - b.Idle) / b.Interval)}
}

// Dialer returns a dialer whose connections have the bound Outgoing. A connect timeout of 0 leaves
// that to the context.
func Dialer(connectTimeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: connectTimeout, KeepAliveConfig: Outgoing.probes(), Control: Outgoing.control}
}

// ListenConfig returns the configuration of a listener whose connections have the bound Accepted.
// They inherit the timeout of their listener.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: Accepted.probes(), Control: Accepted.control}
}

func (b Bound) control(_, _ string, raw syscall.RawConn) error { return setTimeout(raw, b.Timeout) }
