// Package instancelist is a stand-in for the platform's list of live and
// leaving instances. Changes show up only after a lag.
package instancelist

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/standin/faultnet"
)

// Server is a running stand-in instance list.
type Server struct {
	lag      time.Duration
	listener *faultnet.Listener
	wait     sync.WaitGroup

	mu      sync.Mutex
	outage  bool
	updates []update
}

// update is the whole list from a moment on.
type update struct {
	at        time.Time
	instances []objectstore.Instance
}

// Start starts a stand-in instance list with a lag.
func Start(address string, lag time.Duration) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := faultnet.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &Server{lag: lag, listener: listener}
	http := &fasthttp.Server{Handler: server.handle, NoDefaultDate: true, Logger: faultnet.DiscardLogger{}}
	server.wait.Go(func() { _ = http.Serve(listener) })
	return server, nil
}

// URL returns the base URL of the list.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Stop ends the stand-in.
func (s *Server) Stop() {
	s.listener.Kill()
	s.wait.Wait()
}

// SetOutage turns an outage on or off.
func (s *Server) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// Set replaces the list; readers see it after the lag.
func (s *Server) Set(instances []objectstore.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, update{at: time.Now(), instances: slices.Clone(instances)})
}

// visible returns the list as readers see it now.
func (s *Server) visible() []objectstore.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(-s.lag)
	for i := len(s.updates) - 1; i >= 0; i-- {
		if !s.updates[i].at.After(limit) {
			return s.updates[i].instances
		}
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	if outage {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if string(ctx.Path()) != objectstore.InstancesPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := json.Marshal(objectstore.InstanceList{Instances: s.visible()})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
