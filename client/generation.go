package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// Generation is a request for one answer.
type Generation struct {
	caller.CompletionBody
	// IdempotencyKey keeps the generation running while its connection is broken.
	IdempotencyKey string
	// SendDelivered sends the text received so far when the client reconnects.
	SendDelivered bool
}

// Answer is a whole answer.
type Answer struct {
	Tokens  []string
	Version string
	Seed    uint64
	// RequestIDs are the ids under which operators find its connections.
	RequestIDs []string
	// Resumes counts the reconnections.
	Resumes int
	// Restarts counts the restart events.
	Restarts int
	// LongestTokenInterval is the longest token interval, reconnections included.
	LongestTokenInterval time.Duration
}

// generationRun is the state of one generation over its connections.
type generationRun struct {
	client      *Client
	generation  Generation
	onToken     func(offset int, text string)
	answer      Answer
	hash        rollinghash.Hash
	cursor      string
	lastTokenAt time.Time
}

// Generate streams an answer and resumes it after broken connections until it
// is complete, the context ends or the request is refused. onToken, if not
// nil, gets each token once; after a restart it gets offset 0 again. Errors
// are *fault.Error; the answer so far is returned with them.
func (c *Client) Generate(ctx context.Context, generation Generation, onToken func(offset int, text string)) (Answer, error) {
	generation.Stream = true
	run := &generationRun{client: c, generation: generation, onToken: onToken}
	for {
		err := run.runConnection(ctx)
		switch {
		case err == nil:
			return run.answer, nil
		case ctx.Err() != nil:
			return run.answer, fault.Wrap(fault.GenerationIncomplete, domain, "the context ended", ctx.Err()).WithExecution(fault.ExecutionPartial)
		case !reconnectable(err):
			return run.answer, err
		}
		if run.cursor != "" {
			run.answer.Resumes++
		}
		pause.For(ctx, max(reconnectDelay, fault.From(err).RetryAfter))
	}
}

// reconnectable reports whether another connection may resume the answer.
func reconnectable(err error) bool {
	for _, code := range retryableCodes {
		if fault.HasCode(err, code) {
			return true
		}
	}
	return fault.From(err).RetryAfter > 0
}

// retryableCodes are the failures after which the client reconnects although they
// carry no RetryAfter. One with a RetryAfter is always retried after that time.
var retryableCodes = []fault.Code{
	fault.EngineUnreachable, fault.Stopping, fault.ConfigurationUnset, fault.GenerationIncomplete,
	fault.CallerTooSlow, fault.CallerDisconnected,
}

// runConnection opens one connection and reads it to its end.
func (r *generationRun) runConnection(ctx context.Context) error {
	if r.generation.SendDelivered {
		r.generation.Delivered = r.answer.Tokens
	}
	body, err := json.Marshal(r.generation.CompletionBody)
	if err != nil {
		return fault.Wrap(fault.Internal, domain, "encode request", err)
	}
	address := r.client.nextAddress()
	request := r.client.newRequest(address, "/v1/completions", r.generation.IdempotencyKey, body)
	defer fasthttp.ReleaseRequest(request)
	if r.cursor != "" {
		request.Header.Set(caller.LastEventIDHeader, r.cursor)
	}
	exchange, _, err := sse.Post(ctx, &r.client.dialer, address, request)
	if err != nil {
		return fault.Wrap(fault.EngineUnreachable, domain, "connect to "+address, err)
	}
	defer exchange.Close()
	r.answer.RequestIDs = append(r.answer.RequestIDs, exchange.Header(caller.RequestIDHeader))
	if exchange.Status() != fasthttp.StatusOK {
		return answerError(exchange)
	}
	return r.read(exchange)
}

// read handles events until the answer is complete.
func (r *generationRun) read(exchange *sse.Exchange) error {
	var usage *engineapi.Usage
	for {
		received, err := exchange.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return fault.Wrap(fault.EngineUnreachable, domain, "the answer ended early", err)
		}
		switch {
		case received.Comment:
		case string(received.Name) == "error":
			return decodeError(received.Data)
		case string(received.Name) == "restart":
			r.restart()
		case string(received.Data) == engineapi.DoneMarker:
			return r.finish(usage)
		default:
			if usage, err = r.handleChunk(received); err != nil {
				return err
			}
		}
	}
}

// restart discards the tokens so far, as the answer begins again at offset 0.
func (r *generationRun) restart() {
	r.answer.Tokens, r.hash, r.cursor = nil, 0, ""
	r.answer.Restarts++
}

// handleChunk appends one token, or returns the usage that closes the answer.
func (r *generationRun) handleChunk(received sse.Event) (*engineapi.Usage, error) {
	var chunk engineapi.Chunk
	if err := json.Unmarshal(received.Data, &chunk); err != nil || len(chunk.Choices) != 1 {
		return nil, fault.New(fault.MalformedBody, "an event of the answer is not a chunk")
	}
	if chunk.Usage != nil {
		return chunk.Usage, nil
	}
	if chunk.Offset != len(r.answer.Tokens) {
		return nil, fault.New(fault.EngineProtocol, "a token is missing or repeated")
	}
	now := time.Now()
	if !r.lastTokenAt.IsZero() {
		r.answer.LongestTokenInterval = max(r.answer.LongestTokenInterval, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	text := chunk.Choices[0].Text
	r.answer.Tokens = append(r.answer.Tokens, text)
	r.answer.Version, r.answer.Seed = chunk.Version, chunk.Seed
	r.hash = r.hash.Extend(text)
	r.cursor = string(received.ID)
	if r.onToken != nil {
		r.onToken(chunk.Offset, text)
	}
	return nil, nil
}

// finish compares the closing token count and hash with the answer.
func (r *generationRun) finish(usage *engineapi.Usage) error {
	if usage == nil || usage.CompletionTokens != len(r.answer.Tokens) || usage.Hash != r.hash {
		return fault.New(fault.EngineProtocol, "the closing count or hash differs from the answer")
	}
	return nil
}
