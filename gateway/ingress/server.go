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
	"github.com/wisteriahaven/wisteriahaven/internal/contain"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// Handler answers requests. Its methods return once the exchange was answered or
// aborted; the context of Serve ends when the client disconnects.
type Handler interface {
	Serve(ctx context.Context, exchange *Exchange)
	// Reject answers a request that could not be read.
	Reject(exchange *Exchange, err *http1.ProtocolError)
	// Overloaded answers a request for whose body there is no memory.
	Overloaded(exchange *Exchange, err error)
	// Failed answers a request in whose code an unexpected error occurred: it may have run.
	Failed(exchange *Exchange)
	// Limits returns the limits of the in-force configuration.
	Limits() route.Limits
}

// Server accepts clients' connections and passes their requests to a handler.
type Server struct {
	handler Handler
	logger  zerolog.Logger
	guard   *contain.Guard
	mu      sync.Mutex
	// maxConnections bounds the open connections.
	maxConnections int
	open           map[*clientConn]struct{}
	// keepAliveDisabled is set when every answer closes its connection.
	keepAliveDisabled atomic.Bool
	active            atomic.Int64
	bodies            byteBudget
}

// Limits bounds the resources of the process that clients may use.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// BodyBytes is the maximum size of all request bodies together.
	BodyBytes int64
}

// NewServer returns a server with the given limits. The guard contains panics.
func NewServer(handler Handler, limits Limits, guard *contain.Guard, logger zerolog.Logger) *Server {
	s := &Server{handler: handler, logger: logger, guard: guard, open: make(map[*clientConn]struct{})}
	s.SetLimits(limits)
	return s
}

// acceptPause is the delay after a failed accept, for instance when the process
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
		go s.guard.Run("connection", client.run)
	}
}

func (s *Server) add(client *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.maxConnections {
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

// SetLimits changes the limits. Open connections stay open.
func (s *Server) SetLimits(limits Limits) {
	s.bodies.limit.Store(limits.BodyBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConnections = limits.Connections
}

// DisableKeepAlive makes every answer from now on close its connection.
func (s *Server) DisableKeepAlive() { s.keepAliveDisabled.Store(true) }

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
