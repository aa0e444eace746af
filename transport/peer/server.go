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

// maxConnections is the largest number of connections that other instances may keep open.
const maxConnections = 512

// Server serves the calls of other instances.
type Server struct {
	keyRing         *peerauth.KeyRing
	listener        net.Listener
	drpc            *drpcserver.Server
	connectionSlots chan struct{}
	wait            sync.WaitGroup
	counters        serverCounters
}

// serverCounters holds the counters of ServerStatus.
type serverCounters struct {
	accepted atomic.Uint64
	refused  atomic.Uint64
	full     atomic.Uint64
}

// ServerStatus holds the counters of a server for the dump.
type ServerStatus struct {
	Accepted uint64 `json:"accepted"`
	// Refused counts failed handshakes.
	Refused uint64 `json:"refused"`
	// Full counts connections that were closed because maxConnections were open.
	Full uint64 `json:"full"`
	Open int    `json:"open"`
}

// Listen opens the TCP address, "ip:port"; Close closes it. Errors are
// SettingsInvalid for an address that can't be opened, and Internal.
func Listen(address string, keyRing *peerauth.KeyRing, handlers Handlers) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, service{handlers: handlers}); err != nil {
		return nil, fault.Wrap(fault.Internal, "peer", "register the service", err)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, "peer", "listen.peers", err)
	}
	return &Server{
		keyRing:         keyRing,
		listener:        listener,
		drpc:            drpcserver.New(mux),
		connectionSlots: make(chan struct{}, maxConnections),
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Status returns the current counters.
func (s *Server) Status() ServerStatus {
	return ServerStatus{
		Accepted: s.counters.accepted.Load(),
		Refused:  s.counters.refused.Load(),
		Full:     s.counters.full.Load(),
		Open:     len(s.connectionSlots),
	}
}

// Serve accepts connections until the context ends or the server is closed. It
// then closes them and returns when all have ended.
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
		case s.connectionSlots <- struct{}{}:
			s.counters.accepted.Add(1)
			s.wait.Go(func() { s.serveConn(ctx, conn) })
		default:
			s.counters.full.Add(1)
			_ = conn.Close()
		}
	}
}

// Close closes the listener, which ends Serve.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer func() { <-s.connectionSlots }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	authenticated, err := handshakeAsServer(conn, s.keyRing)
	if err != nil {
		s.counters.refused.Add(1)
		_ = conn.Close()
		return
	}
	_ = s.drpc.ServeOne(ctx, authenticated)
}
