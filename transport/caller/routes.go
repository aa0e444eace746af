package caller

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Paths and headers of the caller's interface.
const (
	completionsPath      = "/v1/completions"
	servicesPath         = "/v1/services/"
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	LastEventIDHeader    = "Last-Event-ID"
	ReplayedHeader       = "Idempotent-Replayed"
	// BodyOmittedHeader marks a replayed answer whose body was too large to be kept.
	BodyOmittedHeader = "X-Body-Omitted"
	bearerPrefix      = "Bearer "
	maxKeyBytes       = 256
	requestIDDigits   = 16
	retryAfterHeader  = "Retry-After"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	requestID := fmt.Sprintf("%0*x", requestIDDigits, rand.Uint64())
	ctx.Response.Header.Set(RequestIDHeader, requestID)
	if nonce := ctx.Request.Header.Peek(engineapi.NonceHeader); len(nonce) > 0 {
		ctx.Response.Header.SetBytesV(engineapi.NonceHeader, nonce)
	}
	if err := s.route(ctx, requestID); err != nil {
		s.writeError(ctx, requestID, fault.From(err))
	}
}

// route sends the request to its handler and returns a typed error when the
// answer has not begun.
func (s *Server) route(ctx *fasthttp.RequestCtx, requestID string) error {
	account, err := s.accept(ctx)
	if err != nil {
		return unsent(ctx, err)
	}
	s.inFlight.Add(1)
	if target, isService := strings.CutPrefix(string(ctx.Path()), servicesPath); isService {
		defer s.inFlight.Add(-1)
		return s.handleCall(ctx, requestID, account, target)
	}
	if err := s.handleCompletion(ctx, requestID, account); err != nil {
		return unsent(ctx, err)
	}
	return nil
}

// accept checks what all requests have in common.
func (s *Server) accept(ctx *fasthttp.RequestCtx) (estate.ClientAccount, error) {
	path := string(ctx.Path())
	if path != completionsPath && !strings.HasPrefix(path, servicesPath) {
		return estate.ClientAccount{}, fault.New(fault.NotFound, "no such path: "+path)
	}
	if !ctx.IsPost() {
		return estate.ClientAccount{}, fault.New(fault.MethodNotAllowed, "use POST")
	}
	if s.stopping.Load() {
		return estate.ClientAccount{}, fault.New(fault.Stopping, "the instance is stopping").WithExecution(fault.ExecutionNotRun)
	}
	if key := ctx.Request.Header.Peek(IdempotencyKeyHeader); len(key) > maxKeyBytes {
		return estate.ClientAccount{}, fault.Invalid(IdempotencyKeyHeader, fmt.Sprintf("is longer than %d bytes", maxKeyBytes))
	}
	return s.authenticate(ctx)
}

func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (estate.ClientAccount, error) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found {
		return estate.ClientAccount{}, fault.New(fault.Unauthenticated, "the Authorization header has no bearer key").WithExecution(fault.ExecutionNotRun)
	}
	return s.dependencies.Authenticator.Authenticate(key)
}

// handleProtocolError answers requests that fasthttp could not read.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	failure := fault.Wrap(fault.MalformedBody, "transport/caller", "the request could not be read", err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		failure = fault.New(fault.BodyTooLarge, fmt.Sprintf("the body is over %d bytes", s.options.MaxBodyBytes))
	}
	s.writeError(ctx, "", failure.WithExecution(unsentExecution(ctx)))
}

func (s *Server) writeError(ctx *fasthttp.RequestCtx, requestID string, failure *fault.Error) {
	event.Log(s.logger, event.RequestFailed).
		Str("request", requestID).
		Str("code", string(failure.Code)).
		Str("reason", failure.Error()).
		Send()
	ctx.Response.ResetBody()
	ctx.SetStatusCode(failure.Status())
	ctx.SetContentType("application/json")
	if failure.RetryAfter > 0 {
		ctx.Response.Header.Set(retryAfterHeader, retryAfterSeconds(failure.RetryAfter))
	}
	ctx.SetBody(encodeError(requestID, failure))
}
