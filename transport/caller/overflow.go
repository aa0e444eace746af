package caller

import (
	"bufio"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// eventStreamType is the content type of a streamed answer.
const eventStreamType = "text/event-stream"

// copyBytes is the size of one read of a handed over answer.
const copyBytes = 16 << 10

// forwardedHeaders go with a request to the instance that takes it over.
var forwardedHeaders = []string{fasthttp.HeaderAuthorization, IdempotencyKeyHeader, LastEventIDHeader}

// overflow hands a generation that was refused for want of room over to
// another data centre. It returns the refusal when none takes it.
func (s *Server) overflow(ctx *fasthttp.RequestCtx, request serving.GenerationRequest, refusal error) error {
	failure := fault.From(refusal)
	noRoom := failure.Code == fault.Overloaded || failure.Code == fault.NoBackendServer
	if s.dependencies.Overflow == nil || !noRoom || failure.Execution != fault.ExecutionNotRun {
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
	return s.passOn(ctx, answer)
}

// passOn sends another instance's answer to the caller. An answer that is no
// stream is read whole first, so that a part of it is never taken for all.
func (s *Server) passOn(ctx *fasthttp.RequestCtx, answer serving.OverflowAnswer) error {
	ctx.SetContentType(answer.ContentType)
	ctx.Response.Header.Set("Cache-Control", "no-store")
	if answer.ContentType != eventStreamType {
		defer s.inFlight.Add(-1)
		defer func() { _ = answer.Body.Close() }()
		whole, err := io.ReadAll(answer.Body)
		if err != nil {
			return fault.Wrap(fault.GenerationIncomplete, "transport/caller", "the other instance's answer broke", err).
				WithExecution(fault.ExecutionUnknown)
		}
		ctx.SetBody(whole)
		return nil
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.inFlight.Add(-1)
		defer func() { _ = answer.Body.Close() }()
		copyAnswer(w, answer.Body)
	})
	return nil
}

// copyAnswer passes an answer on as it comes, until either end closes.
func copyAnswer(w *bufio.Writer, body io.Reader) {
	buffer := make([]byte, copyBytes)
	for {
		read, err := body.Read(buffer)
		if _, failed := w.Write(buffer[:read]); failed != nil || w.Flush() != nil || err != nil {
			return
		}
	}
}
