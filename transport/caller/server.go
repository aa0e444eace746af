package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Options bound what the server takes from callers.
type Options struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	IdleTimeout    time.Duration
	// ReadTimeout bounds the reading of one request.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write; a caller that reads slower is cut off.
	WriteTimeout time.Duration
	// BufferedTokens bounds the tokens waiting for a slow caller.
	MaxBufferedTokens int
}

// Defaults of Options.
const (
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultReadTimeout       = 30 * time.Second
	DefaultWriteTimeout      = 30 * time.Second
	DefaultMaxBufferedTokens = 4096
)

// WithDefaults returns the options with unset fields filled in.
func (o Options) WithDefaults() Options {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.MaxBufferedTokens == 0 {
		o.MaxBufferedTokens = DefaultMaxBufferedTokens
	}
	return o
}

// Backends are the parts that serve what callers ask for.
type Dependencies struct {
	Authenticator serving.Authenticator
	Configuration serving.ConfigurationSource
	Generator     serving.Generator
	ServiceCaller serving.CallRunner
	// Overflow takes generations that this instance has no room for; it may
	// be nil.
	Overflow serving.Overflow
}

// Server is the HTTP server towards callers.
type Server struct {
	options      Options
	dependencies Dependencies
	logger       zerolog.Logger
	http         *fasthttp.Server
	stopping     atomic.Bool
	inFlight     atomic.Int64
	// base ends every running request when the server is aborted.
	base  context.Context
	abort context.CancelFunc
}

// NewServer returns a server that is not listening yet.
func NewServer(options Options, backends Dependencies, logger zerolog.Logger) *Server {
	server := &Server{options: options.WithDefaults(), dependencies: backends, logger: logger}
	server.base, server.abort = context.WithCancel(context.Background())
	server.http = &fasthttp.Server{
		Name:                  "wisteriahaven",
		Handler:               server.handle,
		ErrorHandler:          server.handleProtocolError,
		MaxRequestBodySize:    server.options.MaxBodyBytes,
		ReadBufferSize:        server.options.MaxHeaderBytes,
		ReadTimeout:           server.options.ReadTimeout,
		IdleTimeout:           server.options.IdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return server
}

// Serve accepts connections until Shutdown or Abort.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(deadlineListener{Listener: listener, timeout: s.options.WriteTimeout})
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown closes the listener, lets every running request finish and returns
// when the last one has ended or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	return s.http.ShutdownWithContext(ctx)
}

// Abort ends every running request at once.
func (s *Server) Abort() {
	s.stopping.Store(true)
	s.abort()
}

// discardLogger drops fasthttp's unstructured log lines; failures are logged
// as numbered events.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
