package caller

import (
	"io"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// eventStreamType is the content type of a streamed answer.
const eventStreamType = "text/event-stream"

// forwardedHeaders are the request headers that are sent along with a forwarded request.
var forwardedHeaders = []string{fasthttp.HeaderAuthorization, IdempotencyKeyHeader, LastEventIDHeader}

// forwardOverflow forwards a generation to another data centre if this instance refused it for
// lack of capacity. It returns the refusal if no data centre accepts the request.
func (s *Server) forwardOverflow(ctx *fasthttp.RequestCtx, request serving.GenerationRequest, refusal error) error {
	failure := fault.From(refusal)
	lacksCapacity := failure.Code == fault.Overloaded || failure.Code == fault.NoBackendServer
	if s.dependencies.Overflow == nil || !lacksCapacity || failure.Execution != fault.ExecutionNotRun {
		return refusal
	}
	hops, _ := strconv.Atoi(string(ctx.Request.Header.Peek(serving.HopsHeader)))
	headers := make(map[string]string)
	for _, name := range forwardedHeaders {
		if value := ctx.Request.Header.Peek(name); len(value) > 0 {
			headers[name] = string(value)
		}
	}
	s.inFlight.Add(1)
	answer, err := s.dependencies.Overflow.Forward(s.base, serving.OverflowRequest{
		RequestID: request.RequestID, Account: request.Account, Service: request.Service.Name,
		Model: request.Model, Version: request.Version, Hops: hops,
		Body: ctx.PostBody(), Headers: headers,
	})
	if err != nil {
		s.inFlight.Add(-1)
		return failure.WithExecution(fault.From(err).Execution)
	}
	return s.writeForwardedAnswer(ctx, answer)
}

// writeForwardedAnswer sends another instance's answer to the caller. An answer that is not a
// stream is first read to its end, so that the caller never receives a part of it as complete.
func (s *Server) writeForwardedAnswer(ctx *fasthttp.RequestCtx, answer serving.OverflowAnswer) error {
	ctx.SetContentType(answer.ContentType)
	ctx.Response.Header.Set("Cache-Control", "no-store")
	if answer.ContentType != eventStreamType {
		defer s.inFlight.Add(-1)
		defer func() { _ = answer.Body.Close() }()
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return fault.Wrap(fault.GenerationIncomplete, "transport/caller", "the answer of the other instance was interrupted", err).
				WithExecution(fault.ExecutionUnknown)
		}
		ctx.SetBody(body)
		return nil
	}
	// The server closes the caller's connection without the last chunk when a read fails.
	ctx.SetBodyStream(&forwardedBody{ReadCloser: answer.Body, closed: func() { s.inFlight.Add(-1) }}, -1)
	return nil
}

// forwardedBody is the body of another instance's answer.
type forwardedBody struct {
	io.ReadCloser
	once   sync.Once
	closed func()
}

// Close implements io.Closer; later calls do nothing.
func (b *forwardedBody) Close() (err error) {
	b.once.Do(func() {
		err = b.ReadCloser.Close()
		b.closed()
	})
	return err
}
