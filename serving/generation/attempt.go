package generation

import (
	"context"
	"sync/atomic"

	decision "github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// attempt is one open connection to an engine.
type attempt struct {
	number uint32
	server string
	route  serving.Route
	cancel context.CancelFunc
	// streamID is set by the reader once the engine stated it.
	streamID atomic.Pointer[string]
}

// reader reads the stream of one attempt and feeds the run.
type reader struct {
	attempt *attempt
	engines *engine.Client
	request engineapi.CompletionRequest
	inputs  chan<- decision.Input
	opened  decision.AttemptOpened
}

// run reads until the stream ends or the context does.
func (r *reader) run(ctx context.Context) {
	stream, err := r.engines.Open(ctx, r.attempt.route.Server.Address, r.request)
	if err != nil {
		r.send(ctx, decision.Lost{Attempt: r.attempt.number, Reason: openLoss(err, r.request.Resume != nil)})
		return
	}
	defer stream.Close()
	if header, ok := stream.Header(); ok {
		r.open(ctx, header)
	}
	for {
		chunk, err := stream.Next()
		r.attempt.route.Transferred(stream.TakeBytes())
		if err != nil {
			r.send(ctx, decision.Lost{Attempt: r.attempt.number, Reason: readLoss(err)})
			return
		}
		r.open(ctx, engine.Header{StreamID: chunk.ID, BootID: chunk.BootID, Version: chunk.Version, Seed: chunk.Seed})
		if chunk.Usage != nil {
			r.send(ctx, decision.Done{Attempt: r.attempt.number, Tokens: chunk.Usage.CompletionTokens, Hash: chunk.Usage.Hash})
			return
		}
		r.send(ctx, decision.Token{Attempt: r.attempt.number, Offset: chunk.Offset, Text: chunk.Choices[0].Text})
	}
}

// open reports what the engine states, once and again whenever it changes.
func (r *reader) open(ctx context.Context, header engine.Header) {
	opened := decision.AttemptOpened{
		Attempt: r.attempt.number, StreamID: header.StreamID, BootID: header.BootID,
		Version: header.Version, Seed: header.Seed,
	}
	if opened == r.opened {
		return
	}
	r.opened = opened
	r.attempt.streamID.Store(&header.StreamID)
	r.send(ctx, opened)
}

func (r *reader) send(ctx context.Context, input decision.Input) {
	select {
	case r.inputs <- input:
	case <-ctx.Done():
	}
}

// openLoss says why a stream could not be opened.
func openLoss(err error, resume bool) decision.LossReason {
	failure := fault.From(err)
	switch {
	case failure.Code == fault.EngineStreamUnknown && resume:
		return decision.LossUnknownStream
	case failure.Code == fault.EngineStreamUnknown, failure.Code == fault.NoBackendServer:
		return decision.LossRefused
	case failure.Code == fault.EngineUnreachable && failure.Execution == fault.ExecutionNotRun:
		return decision.LossUnreachable
	default:
		return decision.LossBroken
	}
}

// readLoss says why a stream ended early.
func readLoss(err error) decision.LossReason {
	if fault.HasCode(err, fault.EngineProtocol) {
		return decision.LossProtocol
	}
	return decision.LossBroken
}
