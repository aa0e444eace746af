package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// CompletionBody is the body of POST /v1/completions. The fields up to Seed
// are those of the usual completions protocol.
type CompletionBody struct {
	Model     string  `json:"model"`
	Prompt    string  `json:"prompt"`
	MaxTokens int     `json:"max_tokens,omitempty"`
	Stream    bool    `json:"stream,omitempty"`
	Seed      *uint64 `json:"seed,omitempty"`
	// Version pins a model version; empty means the model's default.
	Version string `json:"version,omitempty"`
	// Service chooses between services that offer the model.
	Service string `json:"service,omitempty"`
	// OnMismatch is "error" or "restart".
	OnMismatch serving.OnMismatch `json:"on_mismatch,omitempty"`
	// Delivered holds the tokens that a reconnecting caller already has.
	Delivered []string `json:"delivered,omitempty"`
}

// maxTokensLimit bounds max_tokens of one request.
const maxTokensLimit = 1 << 20

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx, requestID string, account estate.ClientAccount) error {
	request, body, err := s.readCompletion(ctx, requestID, account)
	if err != nil {
		s.inFlight.Add(-1)
		return err
	}
	running, cancel := context.WithCancelCause(s.base)
	answer := newAnswerStream(body.Model, requestID, s.options.MaxBufferedTokens, cancel)
	go func() {
		defer s.inFlight.Add(-1)
		defer cancel(nil)
		end, err := s.dependencies.Generator.Generate(running, request, answer)
		answer.finish(end, err)
	}()
	<-answer.begun
	if failure := answer.earlyFailure(); failure != nil {
		return s.overflow(ctx, request, failure)
	}
	if !body.Stream {
		return s.writeCompletionResponse(ctx, answer, body.Model, requestID)
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { answer.send(w) })
	return nil
}

// readCompletion checks the body and builds the request.
func (s *Server) readCompletion(ctx *fasthttp.RequestCtx, requestID string, account estate.ClientAccount) (serving.GenerationRequest, CompletionBody, error) {
	var body CompletionBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		failure := fault.Wrap(fault.MalformedBody, "transport/caller", "the body is not a completion request", err)
		return serving.GenerationRequest{}, body, failure.WithExecution(fault.ExecutionNotRun)
	}
	if err := checkCompletion(body); err != nil {
		return serving.GenerationRequest{}, body, err.WithExecution(fault.ExecutionNotRun)
	}
	service, err := s.findService(body)
	if err != nil {
		return serving.GenerationRequest{}, body, err
	}
	request := serving.GenerationRequest{
		RequestID:  requestID,
		Key:        string(ctx.Request.Header.Peek(IdempotencyKeyHeader)),
		Account:    account,
		Service:    service,
		Model:      body.Model,
		Version:    body.Version,
		Prompt:     body.Prompt,
		MaxTokens:  body.MaxTokens,
		Seed:       body.Seed,
		Priority:   account.Priority,
		OnMismatch: body.OnMismatch,
		Cursor:     string(ctx.Request.Header.Peek(LastEventIDHeader)),
		Delivered:  body.Delivered,
	}
	return request, body, nil
}

func checkCompletion(body CompletionBody) *fault.Error {
	switch {
	case body.Model == "":
		return fault.Invalid("model", "is required")
	case body.Prompt == "":
		return fault.Invalid("prompt", "is required")
	case body.MaxTokens < 0 || body.MaxTokens > maxTokensLimit:
		return fault.Invalid("max_tokens", fmt.Sprintf("must be between 0 and %d", maxTokensLimit))
	case body.OnMismatch != "" && body.OnMismatch != serving.OnMismatchError && body.OnMismatch != serving.OnMismatchRestart:
		return fault.Invalid("on_mismatch", "must be \"error\" or \"restart\"")
	}
	return nil
}

// findService returns the generation service that offers the model.
func (s *Server) findService(body CompletionBody) (estate.Service, error) {
	configuration := s.dependencies.Configuration.Current()
	if configuration == nil {
		return estate.Service{}, fault.New(fault.ConfigurationUnset, "no configuration is in force").WithExecution(fault.ExecutionNotRun)
	}
	service, found := configuration.GenerationService(body.Service, body.Model)
	if !found {
		return estate.Service{}, fault.New(fault.UnknownService, "no service offers model "+body.Model).WithExecution(fault.ExecutionNotRun)
	}
	return service, nil
}
