package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
	"github.com/wisteriahaven/wisteriahaven/transport/keepalive"
)

const (
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 2
	// defaultIdleTimeout is how long a server is assumed to keep an idle
	// connection open when it does not state this. idleTimeoutMargin is how much
	// earlier the pool closes the connection.
	defaultIdleTimeout = 3 * time.Second
	idleTimeoutMargin  = 1200 * time.Millisecond
)

// ErrNoTime means that the context's deadline passed before the connect timeout.
// The server had too little time to accept, so that the error must not count as
// its failure.
var ErrNoTime = fault.New(fault.UpstreamUnreachable, "no time left to open a connection")

// Dial opens a TCP connection to an address, "ip:port".
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool opens connections to servers and keeps idle ones for reuse. It is safe for
// concurrent use.
type Pool struct {
	dial Dial
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool whose connections detect a server that is gone.
func NewPool() *Pool {
	dialer := keepalive.Dialer(0)
	return NewPoolBy(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	})
}

// NewPoolBy returns an empty pool whose connections a function opens.
func NewPoolBy(dial Dial) *Pool { return &Pool{dial: dial, idle: make(map[string][]*Conn)} }

// Open returns a connection to a server: an idle one if reuse is set and there is
// one, else a new one. It returns ErrNoTime when the context's deadline passes
// before the timeout.
func (p *Pool) Open(ctx context.Context, server, address string, timeout time.Duration, reuse bool) (*Conn, error) {
	if reuse {
		if kept := p.takeIdle(server, address); kept != nil {
			return kept, nil
		}
	}
	end, bounded := ctx.Deadline()
	deadlineFirst := bounded && time.Until(end) < timeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if deadlineFirst && IsTimeout(err) {
		return nil, ErrNoTime
	}
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn, reader: http1.NewReader(conn), address: address}, nil
}

func (p *Pool) takeIdle(server, address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[server]
	for len(kept) > 0 {
		last := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		p.idle[server] = kept
		if last.address == address && time.Now().Before(last.idleUntil) && last.isQuiet() {
			last.Reused = true
			return last
		}
		last.Close()
	}
	delete(p.idle, server)
	return nil
}

// Put returns a connection to the pool after its answer was read completely. It is
// kept if it can carry another request, otherwise closed.
func (p *Pool) Put(server string, conn *Conn, response *http1.Response) {
	idle := response.IdleTimeout(defaultIdleTimeout) - idleTimeoutMargin
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
	if len(p.idle[server]) >= maxIdlePerServer {
		conn.Close()
		return
	}
	p.idle[server] = append(p.idle[server], conn)
}

// Tick closes the connections whose idle time has expired.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, kept := range p.idle {
		remaining := kept[:0]
		for _, conn := range kept {
			if now.Before(conn.idleUntil) {
				remaining = append(remaining, conn)
			} else {
				conn.Close()
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, server)
		} else {
			p.idle[server] = remaining
		}
	}
}
