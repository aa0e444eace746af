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

// attempt is one attempt at an engine with its open connection.
type attempt struct {
	number uint32
	server string
	route  serving.Route
	cancel context.CancelFunc
	// closed is closed when the run accepts no more inputs of the attempt.
	closed chan struct{}
	// streamID is set by the reader when it receives the id from the engine.
	streamID atomic.Pointer[string]
	// cancelWhenOpened makes the reader cancel a stream whose id was not yet
	// received when the attempt was closed.
	cancelWhenOpened atomic.Bool
}

// reader reads the stream of one attempt and sends inputs to the run.
type reader struct {
	attempt *attempt
	engines *engine.Client
	request engineapi.CompletionRequest
	inputs  chan<- decision.Input
	opened  decision.AttemptOpened
	// onConnect is called when the engine has accepted the connection.
	onConnect func()
	// cancelStream cancels a stream whose id came after the attempt was closed.
	cancelStream func(streamID string)
}

// run reads until the stream, the attempt or the context ends.
func (r *reader) run(ctx context.Context) {
	stream, err := r.engines.Open(ctx, r.attempt.route.Server.Address, r.request, r.onConnect)
	if err != nil {
		r.send(decision.AttemptFailed{Attempt: r.attempt.number, Reason: openFailure(err, r.request.Resume != nil)})
		return
	}
	defer stream.Close()
	if header, ok := stream.Header(); ok {
		r.reportOpened(header)
	}
	for !r.attemptClosed() {
		chunk, err := stream.Next()
		r.attempt.route.Transferred(stream.TakeByteCount())
		if err != nil {
			r.send(decision.AttemptFailed{Attempt: r.attempt.number, Reason: readFailure(err)})
			return
		}
		r.reportOpened(engine.Header{StreamID: chunk.ID, BootID: chunk.BootID, Version: chunk.Version, Seed: chunk.Seed})
		if chunk.Usage != nil {
			r.send(decision.Done{Attempt: r.attempt.number, Tokens: chunk.Usage.CompletionTokens, Hash: chunk.Usage.Hash})
			return
		}
		r.send(decision.Token{Attempt: r.attempt.number, Offset: chunk.Offset, Text: chunk.Choices[0].Text})
	}
}

// attemptClosed reports whether the attempt was closed. It cancels a stream
// whose id was received only after that.
func (r *reader) attemptClosed() bool {
	select {
	case <-r.attempt.closed:
	default:
		return false
	}
	if r.attempt.cancelWhenOpened.Load() && r.opened.StreamID != "" {
		r.cancelStream(r.opened.StreamID)
	}
	return true
}

// reportOpened reports what the engine sent, at first and after each change.
func (r *reader) reportOpened(header engine.Header) {
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

// openFailure returns the reason why a stream could not be opened.
func openFailure(err error, resume bool) decision.FailureReason {
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

// readFailure returns the reason why a stream ended early.
func readFailure(err error) decision.FailureReason {
	if fault.HasCode(err, fault.EngineProtocol) {
		return decision.FailureProtocol
	}
	return decision.FailureBroken
}
