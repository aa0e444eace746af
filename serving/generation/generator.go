// Package generation runs generations: it opens attempts at engines, repairs
// broken ones and delivers each token once.
package generation

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// retryPause is the wait between two attempts.
const retryPause = 100 * time.Millisecond

// Parts are what a Generator works with.
type Parts struct {
	Router   serving.Router
	Admitter serving.Admitter
	Guard    serving.Guard
	Recorder serving.Recorder
	Engines  *engine.Client
}

// Generator implements serving.Generator.
type Generator struct {
	parts Parts
}

// New returns a generator.
func New(parts Parts) *Generator { return &Generator{parts: parts} }

// run is one generation in progress.
type run struct {
	parts   Parts
	request serving.GenerationRequest
	writer  serving.AnswerWriter
	version string
	seed    uint64
	tokens  []string
	hash    rollinghash.Hash
	avoid   []string
	attempt uint32
	begun   bool
}

// Generate implements serving.Generator.
func (g *Generator) Generate(ctx context.Context, request serving.GenerationRequest, writer serving.AnswerWriter) (serving.AnswerEnd, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Service.Deadline.Std())
	defer cancel()
	current := &run{parts: g.parts, request: request, writer: writer, version: request.Version, seed: rand.Uint64()}
	if request.Seed != nil {
		current.seed = *request.Seed
	}
	if err := current.restore(); err != nil {
		return serving.AnswerEnd{}, err
	}
	for ctx.Err() == nil {
		end, err := current.try(ctx)
		if err == nil {
			return end, nil
		}
		if current.version == "" && fault.HasCode(err, fault.NoBackendServer) {
			return serving.AnswerEnd{}, err
		}
		pause(ctx)
	}
	failure := fault.Wrap(fault.GenerationStopped, "serving/generation", "the answer is incomplete", context.Cause(ctx))
	return serving.AnswerEnd{}, failure.WithExecution(fault.ExecutionPartial)
}

// restore takes up the state of a reconnecting caller.
func (r *run) restore() error {
	if r.request.Cursor == "" {
		return nil
	}
	position, err := decodeCursor(r.request.Cursor)
	if err != nil {
		return err
	}
	r.version, r.seed = position.Version, position.Seed
	r.tokens = r.request.Delivered
	r.hash = rollinghash.Of(r.tokens)
	if len(r.tokens) != position.Offset || r.hash != position.Hash {
		return fault.New(fault.CursorMismatch, "the delivered tokens differ from the cursor's position")
	}
	return nil
}

// try runs one attempt until the answer is complete or the attempt breaks.
func (r *run) try(ctx context.Context) (serving.AnswerEnd, error) {
	route, err := r.parts.Router.Route(serving.RouteRequest{
		RequestID:     r.request.RequestID,
		ClientAccount: r.request.Account.Name,
		Firm:          r.request.Account.Firm,
		Service:       r.request.Service.Name,
		Model:         r.request.Model,
		Version:       r.version,
		Purpose:       serving.PurposeFirst,
		Prompt:        r.request.Prompt,
		Avoid:         r.avoid,
	})
	if err != nil {
		return serving.AnswerEnd{}, err
	}
	r.attempt++
	end, err := r.stream(ctx, route)
	if err != nil {
		r.avoid = append(r.avoid, route.Server.Name)
		route.Done(serving.OutcomeBroken)
		return end, err
	}
	route.Done(serving.OutcomeSucceeded)
	return end, nil
}

func (r *run) stream(ctx context.Context, route serving.Route) (serving.AnswerEnd, error) {
	stream, err := r.parts.Engines.Open(ctx, route.Server.Address, engineapi.CompletionRequest{
		Model:     r.request.Model,
		Version:   r.version,
		Prompt:    r.request.Prompt,
		MaxTokens: r.request.MaxTokens,
		Seed:      r.seed,
		Priority:  r.request.Priority,
		Prefix:    r.tokens,
		Attempt:   r.attempt,
		RequestID: r.request.RequestID,
	})
	if err != nil {
		return serving.AnswerEnd{}, err
	}
	defer stream.Close()
	var usage *engineapi.Usage
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return r.finish(usage)
		}
		if err != nil {
			return serving.AnswerEnd{}, err
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
			continue
		}
		if err := r.deliver(chunk); err != nil {
			return serving.AnswerEnd{}, err
		}
	}
}

func (r *run) finish(usage *engineapi.Usage) (serving.AnswerEnd, error) {
	if usage == nil || usage.CompletionTokens != len(r.tokens) || usage.Hash != r.hash {
		return serving.AnswerEnd{}, fault.New(fault.EngineProtocol, "the end of the stream does not match its tokens")
	}
	return serving.AnswerEnd{Tokens: len(r.tokens), Hash: r.hash}, nil
}

func (r *run) deliver(chunk engineapi.Chunk) error {
	if chunk.Offset != len(r.tokens) {
		return fault.New(fault.EngineProtocol, "the engine sent a token at a wrong offset")
	}
	if !r.begun {
		r.begun = true
		r.version = chunk.Version
		if err := r.writer.Begin(r.request.Model, r.version, r.seed); err != nil {
			return err
		}
	}
	text := chunk.Choices[0].Text
	r.tokens = append(r.tokens, text)
	r.hash = r.hash.Extend(text)
	position := cursorPosition{Version: r.version, Seed: r.seed, Offset: len(r.tokens), Hash: r.hash}
	return r.writer.Token(serving.Token{Offset: chunk.Offset, Text: text, Cursor: position.encode()})
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}
