package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	// userTimeout ends a connection whose sent bytes are not acknowledged:
	// servers behind a partition answer nothing.
	userTimeout = 2 * time.Second
	// keptPerServer bounds the idle connections to one server.
	keptPerServer = 2
	// usualIdle is how long a server is assumed to keep a connection open when
	// it does not say, and idleMargin how much earlier it is given up.
	usualIdle  = 3 * time.Second
	idleMargin = 1200 * time.Millisecond
)

// ErrNoTime means that a caller's time ended before a server was given the time
// to accept a connection: it says nothing about the server.
var ErrNoTime = fault.New(fault.UpstreamUnreachable, "no time left to open a connection")

// Pool opens connections and keeps idle ones. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}},
		idle:   make(map[string][]*Conn),
	}
}

// Open returns a connection to a server: an idle one when reuse is set and
// there is one, else a new one. It returns ErrNoTime when the context's time
// ends before the timeout.
func (p *Pool) Open(ctx context.Context, server, address string, timeout time.Duration, reuse bool) (*Conn, error) {
	if reuse {
		if kept := p.take(server, address); kept != nil {
			return kept, nil
		}
	}
	end, bounded := ctx.Deadline()
	short := bounded && time.Until(end) < timeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if short && IsTimeout(err) {
		return nil, ErrNoTime
	}
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn, reader: http1.NewReader(conn), address: address}, nil
}

func (p *Pool) take(server, address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[server]
	for len(kept) > 0 {
		last := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		p.idle[server] = kept
		if last.address == address && time.Now().Before(last.idleUntil) {
			last.Reused = true
			return last
		}
		last.Close()
	}
	delete(p.idle, server)
	return nil
}

// Put gives a connection back after its answer was read whole. It is kept when
// it can carry another request.
func (p *Pool) Put(server string, conn *Conn, response *http1.Response) {
	idle := response.IdleTimeout(usualIdle) - idleMargin
	if idle <= 0 || !conn.fullyWritten() || conn.reader.Buffered() > 0 || conn.closed.Load() {
		conn.Close()
		return
	}
	if err := conn.conn.SetReadDeadline(time.Time{}); err != nil {
		conn.Close()
		return
	}
	conn.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[server]) >= keptPerServer {
		conn.Close()
		return
	}
	p.idle[server] = append(p.idle[server], conn)
}

// Tick closes the connections that were idle for too long.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, kept := range p.idle {
		left := kept[:0]
		for _, conn := range kept {
			if now.Before(conn.idleUntil) {
				left = append(left, conn)
			} else {
				conn.Close()
			}
		}
		if len(left) == 0 {
			delete(p.idle, server)
		} else {
			p.idle[server] = left
		}
	}
}
