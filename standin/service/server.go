// Package service is a stand-in for a plain service. It counts how often each
// key ran, and drops or crosses answers on request.
package service

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/standin/faultnet"
)

const operationsPath = "/v1/operations/"

// Settings describe one stand-in service.
type Settings struct {
	Name    string
	Address string
}

// Answer is the body of an answer.
type Answer struct {
	Server    string `json:"server"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Run       int    `json:"run"`
}

// Server is a running stand-in service.
type Server struct {
	settings Settings
	listener *faultnet.Listener
	wait     sync.WaitGroup

	mu     sync.Mutex
	faults Faults
	runs   map[string]int
}

// Start starts a stand-in service.
func Start(settings Settings) (*Server, error) {
	if settings.Address == "" {
		settings.Address = "127.0.0.1:0"
	}
	listener, err := faultnet.Listen(settings.Address)
	if err != nil {
		return nil, err
	}
	server := &Server{settings: settings, listener: listener, runs: make(map[string]int)}
	http := &fasthttp.Server{Handler: server.handle, NoDefaultDate: true, Logger: faultnet.DiscardLogger{}}
	server.wait.Go(func() { _ = http.Serve(listener) })
	return server, nil
}

// Address returns the server's "ip:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop ends the stand-in at once.
func (s *Server) Stop() {
	s.listener.Kill()
	s.wait.Wait()
}

// Pause freezes the server until Resume.
func (s *Server) Pause() { s.listener.Pause() }

// Resume ends a pause.
func (s *Server) Unpause() { s.listener.Unpause() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns how often each key ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, count := range s.runs {
		runs[key] = count
	}
	return runs
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/control" && ctx.IsPost():
		s.handleControl(ctx)
	case strings.HasPrefix(path, operationsPath) && ctx.IsPost():
		s.handleOperation(ctx, strings.TrimPrefix(path, operationsPath))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) handleOperation(ctx *fasthttp.RequestCtx, operation string) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	nonce := string(ctx.Request.Header.Peek(engineapi.NonceHeader))
	s.mu.Lock()
	s.runs[key]++
	run := s.runs[key]
	effect := s.faults.take(string(ctx.PostBody()))
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	switch {
	case effect.die:
		s.listener.Kill()
		return
	case effect.drop:
		_ = ctx.Conn().Close()
		return
	case effect.cross:
		nonce = "crossed-" + nonce
	}
	body, err := json.Marshal(Answer{Server: s.settings.Name, Operation: operation, Key: key, Run: run})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set(engineapi.NonceHeader, nonce)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
