// Package weightstore is a stand-in for the rate-limited store of model
// weights.
//
//	GET /v1/weights?model=m&version=v   200 after the transfer, 429 over the rate
package weightstore

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/standin/faultnet"
)

// WeightsPath is the path of a transfer.
const WeightsPath = "/v1/weights"

// Settings describe one stand-in weight store.
type Settings struct {
	Address string
	// Concurrent is how many transfers run at a time; one more is refused.
	MaxTransfers int
	// TransferTime is the time of one transfer.
	TransferTime time.Duration
}

// Defaults of Settings.
const (
	DefaultMaxTransfers = 4
	DefaultTransferTime = 200 * time.Millisecond
)

// Server is a running stand-in weight store.
type Server struct {
	settings Settings
	listener *faultnet.Listener
	wait     sync.WaitGroup

	mu      sync.Mutex
	running int
	served  int
	refused int
}

// Start starts a stand-in weight store.
func Start(settings Settings) (*Server, error) {
	if settings.Address == "" {
		settings.Address = "127.0.0.1:0"
	}
	if settings.MaxTransfers == 0 {
		settings.MaxTransfers = DefaultMaxTransfers
	}
	if settings.TransferTime == 0 {
		settings.TransferTime = DefaultTransferTime
	}
	listener, err := faultnet.Listen(settings.Address)
	if err != nil {
		return nil, err
	}
	server := &Server{settings: settings, listener: listener}
	http := &fasthttp.Server{Handler: server.handle, NoDefaultDate: true, Logger: faultnet.DiscardLogger{}}
	server.wait.Go(func() { _ = http.Serve(listener) })
	return server, nil
}

// URL returns the base URL of the store.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Counts returns the transfers served and refused so far.
func (s *Server) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// Stop ends the stand-in.
func (s *Server) Stop() {
	s.listener.Kill()
	s.wait.Wait()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != WeightsPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !s.begin() {
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	time.Sleep(s.settings.TransferTime)
	s.end()
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.settings.MaxTransfers {
		s.refused++
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.served++
}
