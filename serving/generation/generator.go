package generation

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	decision "github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/decision/retention"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// defaultDeadline limits a generation of a service without a deadline.
const defaultDeadline = 10 * time.Minute

// Generator implements serving.Generator.
type Generator struct {
	parts    Parts
	metrics  generationMetrics
	retained retained
	detached detachedRuns
	// background is the context of work that may continue after a request.
	background context.Context
	cancel     context.CancelFunc
	wait       sync.WaitGroup
	mu         sync.Mutex
	closed     bool
}

// Status is the state of a generator in the dump.
type Status struct {
	Retained retention.Stats `json:"retained"`
	// Detached counts the streams kept for callers that disconnected.
	Detached int `json:"detached"`
}

// New returns a generator. Close ends its running and background work.
func New(parts Parts) *Generator {
	parts = parts.withDefaults()
	g := &Generator{
		parts:    parts,
		metrics:  generationMetrics{parts.Metrics},
		retained: retained{store: retention.New(parts.RetainedBytes)},
		detached: detachedRuns{timers: make(map[cursor.Fingerprint]*time.Timer)},
	}
	g.background, g.cancel = context.WithCancel(context.Background())
	return g
}

// beginWork registers work for Close to wait for, and returns false when the
// generator is closed. The caller calls wait.Done when the work ends.
func (g *Generator) beginWork() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Add(1)
	return true
}

// Close ends running generations and the background work and waits for them.
func (g *Generator) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.detached.stopAll()
	g.cancel()
	g.wait.Wait()
}

// Status returns the current state.
func (g *Generator) Status() Status {
	return Status{Retained: g.retained.stats(), Detached: g.detached.count()}
}

// Generate implements serving.Generator.
func (g *Generator) Generate(ctx context.Context, request serving.GenerationRequest, writer serving.AnswerWriter) (serving.AnswerEnd, error) {
	if !g.beginWork() {
		return serving.AnswerEnd{}, fault.New(fault.Stopping, "the instance is stopping").WithExecution(fault.ExecutionRefusedHere)
	}
	defer g.wait.Done()
	codec := cursor.NewCodec(g.parts.Cursors)
	start, err := startOf(codec, request)
	if err != nil {
		return serving.AnswerEnd{}, err
	}
	deadline := request.Service.Deadline.Std()
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ticket, err := g.admit(ctx, request, deadline)
	if err != nil {
		return serving.AnswerEnd{}, err
	}
	defer ticket.Release()
	config := g.config(request, deadline)
	g.detached.stop(config.Request)
	if start.Cursor != nil && start.Delivered == nil {
		start.Delivered = g.retained.find(config.Request, start.Cursor.Offset, start.Cursor.Hash)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	current := &run{
		generator:          g,
		parts:              g.parts,
		request:            request,
		contentFingerprint: contentFingerprint(request),
		codec:              codec,
		writer:             writer,
		ticket:             ticket,
		machine:            decision.New(config, random),
		config:             config,
		startedAt:          time.Now(),
		inputs:             make(chan decision.Input, inputBuffer),
		attempts:           make(map[uint32]*attempt),
		addresses:          make(map[string]string),
	}
	return current.loop(ctx, start)
}

// admit requests a ticket, at most until the deadline.
func (g *Generator) admit(ctx context.Context, request serving.GenerationRequest, deadline time.Duration) (serving.Ticket, error) {
	if g.parts.Admitter == nil {
		return unlimitedTicket{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	return g.parts.Admitter.Admit(ctx, serving.AdmissionRequest{
		RequestID: request.RequestID,
		Account:   request.Account,
		Service:   request.Service.Name,
		MaxTokens: request.MaxTokens,
		Priority:  request.Priority,
		Resumed:   request.Cursor != "",
	})
}

func (g *Generator) config(request serving.GenerationRequest, deadline time.Duration) decision.Config {
	config := decision.Config{
		Request: cursor.Request{
			Service:       request.Service.Name,
			Model:         request.Model,
			Prompt:        request.Prompt,
			MaxTokens:     request.MaxTokens,
			Key:           request.Key,
			ClientAccount: request.Account.Name,
		}.Fingerprint(),
		Keyed:       request.Key != "",
		Model:       request.Model,
		Version:     request.Version,
		PromptBytes: len(request.Prompt),
		Seed:        rand.Uint64(),
		OnMismatch:  request.OnMismatch,
		Deadline:    deadline,
		Policy:      decision.PolicyFor(request.Service.Recovery),
	}
	if request.Seed != nil {
		config.Seed = *request.Seed
	}
	return config
}

// startOf returns the first input. It verifies a reconnecting caller's cursor.
func startOf(codec *cursor.Codec, request serving.GenerationRequest) (decision.Start, error) {
	if request.Cursor == "" {
		if len(request.Delivered) > 0 {
			return decision.Start{}, fault.Invalid("delivered", "needs a Last-Event-ID")
		}
		return decision.Start{}, nil
	}
	position, err := codec.Decode(request.Cursor)
	if err != nil {
		return decision.Start{}, err
	}
	start := decision.Start{Cursor: &position}
	if len(request.Delivered) > 0 {
		start.Delivered = request.Delivered
	}
	return start, nil
}
