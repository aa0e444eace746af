package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

// maxConnections bounds the connections that other instances hold open.
const maxConnections = 512

// Server answers the calls of other instances.
type Server struct {
	ring     *peerauth.KeyRing
	listener net.Listener
	drpc     *drpcserver.Server
	slots    chan struct{}
	wait     sync.WaitGroup
	counters serverCounters
}

// serverCounters count connections.
type serverCounters struct {
	accepted atomic.Uint64
	refused  atomic.Uint64
	full     atomic.Uint64
}

// ServerStatus is the state of a server for the dump.
type ServerStatus struct {
	Accepted uint64 `json:"accepted"`
	// Refused counts failed handshakes.
	Refused uint64 `json:"refused"`
	// Full counts connections closed because too many were open.
	Full uint64 `json:"full"`
	Open int    `json:"open"`
}

// Listen opens the TCP address, "ip:port". Close closes it again.
func Listen(address string, ring *peerauth.KeyRing, handlers Handlers) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, service{handlers: handlers}); err != nil {
		return nil, fault.Wrap(fault.Internal, "peer", "register the service", err)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, "peer", "listen.peers", err)
	}
	return &Server{
		ring:     ring,
		listener: listener,
		drpc:     drpcserver.New(mux),
		slots:    make(chan struct{}, maxConnections),
	}, nil
}

// Address returns the address listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Status returns the current state.
func (s *Server) Status() ServerStatus {
	return ServerStatus{
		Accepted: s.counters.accepted.Load(),
		Refused:  s.counters.refused.Load(),
		Full:     s.counters.full.Load(),
		Open:     len(s.slots),
	}
}

// Serve takes connections until the context ends or the server is closed, and
// waits for their ends.
func (s *Server) Serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer s.wait.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		select {
		case s.slots <- struct{}{}:
			s.counters.accepted.Add(1)
			s.wait.Go(func() { s.serveConn(ctx, conn) })
		default:
			s.counters.full.Add(1)
			_ = conn.Close()
		}
	}
}

// Close closes the address.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer func() { <-s.slots }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	proven, err := proveServer(conn, s.ring)
	if err != nil {
		s.counters.refused.Add(1)
		_ = conn.Close()
		return
	}
	_ = s.drpc.ServeOne(ctx, proven)
}
