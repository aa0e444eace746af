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

// Options holds the limits for callers. Zero fields are replaced by defaults.
type Options struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	IdleTimeout    time.Duration
	// ReadTimeout is the longest time that reading one request may take.
	ReadTimeout time.Duration
	// WriteTimeout is the longest time that one write may take; a caller that
	// reads more slowly is disconnected.
	WriteTimeout time.Duration
	// MaxBufferedTokens is the largest number of tokens that wait for a slow caller.
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

// WithDefaults returns the options with the defaults in place of zero fields.
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

// Dependencies holds the parts that authenticate requests and serve them.
type Dependencies struct {
	Authenticator serving.Authenticator
	Configuration serving.ConfigurationSource
	Generator     serving.Generator
	ServiceCaller serving.CallRunner
	// Overflow forwards generations for which this instance lacks capacity; nil
	// means that they are refused.
	Overflow serving.Overflow
}

// Server is the HTTP server for callers.
type Server struct {
	options      Options
	dependencies Dependencies
	logger       zerolog.Logger
	http         *fasthttp.Server
	stopping     atomic.Bool
	inFlight     atomic.Int64
	// base is the parent context of all running requests; abort cancels it.
	base  context.Context
	abort context.CancelFunc
}

// NewServer returns a server that does not accept connections before Serve.
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

// Serve accepts connections from the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(deadlineListener{Listener: listener, timeout: s.options.WriteTimeout})
}

// InFlight returns the number of requests that are in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown closes the listener and refuses new requests. It returns when the
// last running request has finished or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	return s.http.ShutdownWithContext(ctx)
}

// Abort refuses new requests and cancels every running one at once.
func (s *Server) Abort() {
	s.stopping.Store(true)
	s.abort()
}

// discardLogger discards fasthttp's unstructured log lines; failures are logged
// as numbered events.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
