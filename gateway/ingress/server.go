package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// Handler answers requests. It returns once the exchange was answered or
// aborted; the context ends when the client leaves.
type Handler interface {
	Serve(ctx context.Context, exchange *Exchange)
	// Reject answers a request that could not be read.
	Reject(exchange *Exchange, err *http1.ProtocolError)
	// Overloaded answers a request whose body finds no memory.
	Overloaded(exchange *Exchange, err error)
	// Limits returns the bounds in force.
	Limits() route.Limits
}

// Server accepts clients' connections.
type Server struct {
	handler Handler
	logger  zerolog.Logger
	mu      sync.Mutex
	// maximum bounds the open connections.
	maximum int
	open    map[*clientConn]struct{}
	// leaving is set when answers shall end their connections.
	leaving atomic.Bool
	active  atomic.Int64
	bodies  byteBudget
}

// Limits bound what clients may take of the process.
type Limits struct {
	// Connections is how many may be open.
	Connections int
	// BodyBytes is how much the bodies of all requests may take together.
	BodyBytes int64
}

// NewServer returns a server with the given limits.
func NewServer(handler Handler, limits Limits, logger zerolog.Logger) *Server {
	s := &Server{handler: handler, logger: logger, open: make(map[*clientConn]struct{})}
	s.SetLimits(limits)
	return s
}

// acceptPause is the wait after a failed accept, for instance when the process
// has no descriptor left.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			event.Log(s.logger, event.AcceptFailed).Err(err).Send()
			time.Sleep(acceptPause)
			continue
		}
		client := &clientConn{server: s, conn: conn, reader: http1.NewReader(conn)}
		if !s.add(client) {
			_ = conn.Close() // Over the limit; the client tries another instance.
			continue
		}
		go client.run()
	}
}

func (s *Server) add(client *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.maximum {
		return false
	}
	s.open[client] = struct{}{}
	return true
}

func (s *Server) remove(client *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, client)
}

// Limit changes the limits; connections that are open stay open.
func (s *Server) SetLimits(limits Limits) {
	s.bodies.limit.Store(limits.BodyBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maximum = limits.Connections
}

// Leave makes every answer from now on end its connection.
func (s *Server) DisableKeepAlive() { s.leaving.Store(true) }

// CloseIdle closes the connections that wait for a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for client := range s.open {
		client.closeIfIdle()
	}
}

// Abort closes every connection.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for client := range s.open {
		client.close()
	}
}

// Active returns the number of requests that are being answered.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
