package operator

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Bounds of the operator listener.
const (
	maxBodyBytes = 32 << 20
	headerBytes  = 16 << 10
	idleTimeout  = 60 * time.Second
	readTimeout  = 10 * time.Second
	// commandTimeout bounds a command besides its wait.
	commandTimeout = 20 * time.Second
	maxConnections = 256
)

// Instance is the state of the process that the server shows.
type Instance interface {
	// Ready reports whether the instance can serve.
	Ready() bool
	// Dump returns the state of the instance with its newest decisions.
	Dump(decisions int) dump.Instance
	// About returns the state of the instance with its kept decisions about a
	// subject or a backend server.
	DumpAbout(name string) dump.Instance
}

// Server is the operator listener of an entry instance.
type Server struct {
	parts    Options
	instance Instance
	tokens   *tokens
	executor *Executor
	metrics  metrics.Registry
	http     *fasthttp.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(parts Options, configured []settings.OperatorToken, instance Instance, registry metrics.Registry) *Server {
	server := &Server{
		parts:    parts,
		instance: instance,
		tokens:   newTokens(configured),
		executor: NewExecutor(parts),
		metrics:  registry,
	}
	server.http = &fasthttp.Server{
		Name:               "wisteriahaven-operator",
		Handler:            server.handle,
		CloseOnShutdown:    true,
		NoDefaultDate:      true,
		MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize:     headerBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		Concurrency:        maxConnections,
	}
	return server
}

// Executor returns the executor of the server's commands.
func (s *Server) Executor() *Executor { return s.executor }

// Serve takes connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Shutdown closes the listener and waits for running requests.
func (s *Server) Shutdown() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case operatorapi.LivePath:
		ctx.SetStatusCode(fasthttp.StatusOK)
	case operatorapi.ReadyPath:
		if !s.instance.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	default:
		s.handleAuthenticated(ctx)
	}
}

func (s *Server) handleAuthenticated(ctx *fasthttp.RequestCtx) {
	operator, err := s.tokens.authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		event.Log(s.parts.Logger, event.OperatorRefused).Str("remote", ctx.RemoteAddr().String()).Str("path", string(ctx.Path())).Send()
		s.fail(ctx, err)
		return
	}
	path := string(ctx.Path())
	wanted := fasthttp.MethodGet
	if path == operatorapi.CommandPath {
		wanted = fasthttp.MethodPost
	}
	if string(ctx.Method()) != wanted {
		s.fail(ctx, fault.New(fault.MethodNotAllowed, path+" takes "+wanted))
		return
	}
	work, cancel := context.WithTimeout(context.Background(), commandTimeout+maxWait)
	defer cancel()
	switch path {
	case operatorapi.DumpPath:
		s.dump(work, ctx, operator)
	case operatorapi.DumpsPath:
		s.write(ctx, fasthttp.StatusOK, s.parts.Peers.Dumps(work, operator.Token, decisionsOf(ctx)))
	case operatorapi.MetricsPath:
		s.write(ctx, fasthttp.StatusOK, s.metrics)
	case operatorapi.RevisionPath:
		s.write(ctx, fasthttp.StatusOK, s.revision())
	case operatorapi.CommandPath:
		s.command(work, ctx, operator)
	default:
		s.fail(ctx, fault.New(fault.NotFound, "the operator listener has no "+path))
	}
}

func (s *Server) dump(work context.Context, ctx *fasthttp.RequestCtx, operator Operator) {
	peer := string(ctx.QueryArgs().Peek(operatorapi.PeerArgument))
	about := string(ctx.QueryArgs().Peek(operatorapi.AboutArgument))
	switch {
	case peer != "" && peer != s.parts.Instance:
	case about != "":
		s.write(ctx, fasthttp.StatusOK, s.instance.DumpAbout(about))
		return
	default:
		s.write(ctx, fasthttp.StatusOK, s.instance.Dump(decisionsOf(ctx)))
		return
	}
	state, err := s.parts.Peers.Dump(work, operator.Token, peer)
	if err != nil {
		s.fail(ctx, err)
		return
	}
	s.write(ctx, fasthttp.StatusOK, state)
}

// decisionsOf returns the number of decisions that a request asks for.
func decisionsOf(ctx *fasthttp.RequestCtx) int {
	count, err := ctx.QueryArgs().GetUint(operatorapi.DecisionsArgument)
	if err != nil {
		return operatorapi.DefaultDecisions
	}
	return count
}

// revision returns the revision in force on this instance.
func (s *Server) revision() operatorapi.InstanceRevision {
	revision := operatorapi.InstanceRevision{Instance: s.parts.Instance, DataCentre: s.parts.DataCentre}
	if current := s.parts.Current.Current(); current != nil {
		revision.Revision = current.Revision
	}
	return revision
}

func (s *Server) command(work context.Context, ctx *fasthttp.RequestCtx, operator Operator) {
	var request operatorapi.Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		s.write(ctx, fasthttp.StatusBadRequest, rejected("", fault.Wrap(fault.MalformedBody, "operator", "the body is no request", err)))
		return
	}
	response := s.executor.Execute(work, operator, request)
	status := fasthttp.StatusOK
	if response.Failure != nil {
		status = fault.Lookup(response.Failure.Code).Status
	}
	s.write(ctx, status, response)
}

// fail answers a refused request. A command's answer is always a Response.
func (s *Server) fail(ctx *fasthttp.RequestCtx, err error) {
	failure := operatorapi.FailureOf(err)
	status := fault.Lookup(failure.Code).Status
	if string(ctx.Path()) == operatorapi.CommandPath {
		s.write(ctx, status, rejected("", err))
		return
	}
	s.write(ctx, status, failure)
}

func (s *Server) write(ctx *fasthttp.RequestCtx, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
