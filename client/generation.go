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
	// IdempotencyKey keeps the generation running over a lost connection.
	IdempotencyKey string
	// SendDelivered sends the text the client has when it reconnects.
	SendDelivered bool
}

// Answer is a whole answer.
type Answer struct {
	Tokens  []string
	Version string
	Seed    uint64
	// RequestIDs are the ids of its connections, for questions to operators.
	RequestIDs []string
	// Resumes counts the reconnections.
	Resumes int
	// Restarts counts the restart events.
	Restarts int
	// LongestGap is the longest wait between two tokens.
	LongestTokenInterval time.Duration
}

// generationRun is the state of one generation over its connections.
type generationRun struct {
	client     *Client
	generation Generation
	onToken    func(offset int, text string)
	answer     Answer
	hash       rollinghash.Hash
	cursor     string
	last       time.Time
}

// Generate streams an answer and continues it over lost connections until it
// is complete, the context ends or the request is refused. onToken, if not
// nil, gets each token once; after a restart it gets offset 0 again. Errors
// are *fault.Error; the answer so far is returned with them.
func (c *Client) Generate(ctx context.Context, generation Generation, onToken func(offset int, text string)) (Answer, error) {
	generation.Stream = true
	run := &generationRun{client: c, generation: generation, onToken: onToken}
	for {
		err := run.connect(ctx)
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
		pause.For(ctx, max(reconnectPause, fault.From(err).RetryAfter))
	}
}

// reconnectable reports whether another connection may continue the answer.
func reconnectable(err error) bool {
	for _, code := range reconnectCodes {
		if fault.HasCode(err, code) {
			return true
		}
	}
	return fault.From(err).RetryAfter > 0
}

// reconnectCodes are the failures after which the client connects again at
// once. One with a RetryAfter is repeated after that time.
var reconnectCodes = []fault.Code{
	fault.EngineUnreachable, fault.Stopping, fault.ConfigurationUnset, fault.GenerationIncomplete,
	fault.CallerTooSlow, fault.CallerDisconnected,
}

// connect runs one connection to its end.
func (r *generationRun) connect(ctx context.Context) error {
	if r.generation.SendDelivered {
		r.generation.Delivered = r.answer.Tokens
	}
	body, err := json.Marshal(r.generation.CompletionBody)
	if err != nil {
		return fault.Wrap(fault.Internal, domain, "encode request", err)
	}
	address := r.client.address()
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

// read takes events until the answer is complete.
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
			if usage, err = r.event(received); err != nil {
				return err
			}
		}
	}
}

func (r *generationRun) restart() {
	r.answer.Tokens, r.hash, r.cursor = nil, 0, ""
	r.answer.Restarts++
}

// event takes one token, or returns the usage that closes the answer.
func (r *generationRun) event(received sse.Event) (*engineapi.Usage, error) {
	var next engineapi.Chunk
	if err := json.Unmarshal(received.Data, &next); err != nil || len(next.Choices) != 1 {
		return nil, fault.New(fault.MalformedBody, "an event of the answer is not a chunk")
	}
	if next.Usage != nil {
		return next.Usage, nil
	}
	if next.Offset != len(r.answer.Tokens) {
		return nil, fault.New(fault.EngineProtocol, "a token is missing or repeated")
	}
	now := time.Now()
	if !r.last.IsZero() {
		r.answer.LongestTokenInterval = max(r.answer.LongestTokenInterval, now.Sub(r.last))
	}
	r.last = now
	text := next.Choices[0].Text
	r.answer.Tokens = append(r.answer.Tokens, text)
	r.answer.Version, r.answer.Seed = next.Version, next.Seed
	r.hash = r.hash.Extend(text)
	r.cursor = string(received.ID)
	if r.onToken != nil {
		r.onToken(next.Offset, text)
	}
	return nil, nil
}

// finish checks the closing count and hash.
func (r *generationRun) finish(usage *engineapi.Usage) error {
	if usage == nil || usage.CompletionTokens != len(r.answer.Tokens) || usage.Hash != r.hash {
		return fault.New(fault.EngineProtocol, "the closing count or hash differs from the answer")
	}
	return nil
}
