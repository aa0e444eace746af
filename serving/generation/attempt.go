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
	// closed ends the flow of inputs to the run.
	closed chan struct{}
	// streamID is set by the reader once the engine stated it.
	streamID atomic.Pointer[string]
	// cancelLate asks the reader to cancel a stream that was not known when
	// the attempt was closed.
	cancelLate atomic.Bool
}

// reader reads the stream of one attempt and feeds the run.
type reader struct {
	attempt *attempt
	engines *engine.Client
	request engineapi.CompletionRequest
	inputs  chan<- decision.Input
	opened  decision.AttemptOpened
	// abandon cancels a stream that became known after the attempt was closed.
	abandon func(streamID string)
}

// run reads until the stream ends or the context does.
func (r *reader) run(ctx context.Context) {
	stream, err := r.engines.Open(ctx, r.attempt.route.Server.Address, r.request)
	if err != nil {
		r.send(decision.AttemptFailed{Attempt: r.attempt.number, Reason: openLoss(err, r.request.Resume != nil)})
		return
	}
	defer stream.Close()
	if header, ok := stream.Header(); ok {
		r.open(header)
	}
	for !r.abandoned() {
		chunk, err := stream.Next()
		r.attempt.route.Transferred(stream.TakeByteCount())
		if err != nil {
			r.send(decision.AttemptFailed{Attempt: r.attempt.number, Reason: readLoss(err)})
			return
		}
		r.open(engine.Header{StreamID: chunk.ID, BootID: chunk.BootID, Version: chunk.Version, Seed: chunk.Seed})
		if chunk.Usage != nil {
			r.send(decision.Done{Attempt: r.attempt.number, Tokens: chunk.Usage.CompletionTokens, Hash: chunk.Usage.Hash})
			return
		}
		r.send(decision.Token{Attempt: r.attempt.number, Offset: chunk.Offset, Text: chunk.Choices[0].Text})
	}
}

// abandoned reports whether the attempt was closed. A stream that was not
// known by then is cancelled now.
func (r *reader) abandoned() bool {
	select {
	case <-r.attempt.closed:
	default:
		return false
	}
	if r.attempt.cancelLate.Load() && r.opened.StreamID != "" {
		r.abandon(r.opened.StreamID)
	}
	return true
}

// open reports what the engine states, once and again whenever it changes.
func (r *reader) open(header engine.Header) {
	opened := decision.AttemptOpened{
		Attempt: r.attempt.number, StreamID: header.StreamID, BootID: header.BootID,
		Version: header.Version, Seed: header.Seed,
	}
	if opened == r.opened {
		return
	}
	r.opened = opened
	r.attempt.streamID.Store(&header.StreamID)
	r.send(opened)
}

func (r *reader) send(input decision.Input) {
	select {
	case r.inputs <- input:
	case <-r.attempt.closed:
	}
}

// openLoss says why a stream could not be opened.
func openLoss(err error, resume bool) decision.FailureReason {
	failure := fault.From(err)
	switch {
	case failure.Code == fault.EngineStreamUnknown && resume:
		return decision.FailureUnknownStream
	case failure.Code == fault.EngineStreamUnknown, failure.Code == fault.NoBackendServer:
		return decision.FailureRefused
	case failure.Code == fault.EngineUnreachable && failure.Execution == fault.ExecutionNotRun:
		return decision.FailureUnreachable
	default:
		return decision.FailureBroken
	}
}

// readLoss says why a stream ended early.
func readLoss(err error) decision.FailureReason {
	if fault.HasCode(err, fault.EngineProtocol) {
		return decision.FailureProtocol
	}
	return decision.FailureBroken
}
