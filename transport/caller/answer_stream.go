package caller

import (
	"bufio"
	"context"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// frameKind is the kind of a frame.
type frameKind uint8

const (
	frameToken frameKind = iota
	frameRestart
	frameKeepAlive
)

// frame is one event of a streamed answer that waits to be written to the caller.
type frame struct {
	kind  frameKind
	token serving.Token
}

// answerStream connects a generation with its caller's connection: the
// generation enqueues frames, and the connection's goroutine writes them.
type answerStream struct {
	model     string
	requestID string
	cancel    context.CancelCauseFunc
	frames    chan frame

	// startedOrFailed is closed when the answer begins or the generation ends before it.
	startedOrFailed chan struct{}
	startOnce       sync.Once
	// disconnected is closed when the caller's connection failed or its buffer was full.
	disconnected   chan struct{}
	disconnectOnce sync.Once

	mu      sync.Mutex
	version string
	seed    uint64
	started bool
	end     serving.AnswerEnd
	failure *fault.Error
}

func newAnswerStream(model, requestID string, buffered int, cancel context.CancelCauseFunc) *answerStream {
	return &answerStream{
		model:           model,
		requestID:       requestID,
		cancel:          cancel,
		frames:          make(chan frame, buffered),
		startedOrFailed: make(chan struct{}),
		disconnected:    make(chan struct{}),
	}
}

// Begin implements serving.AnswerWriter.
func (a *answerStream) Begin(model, version string, seed uint64) error {
	a.mu.Lock()
	a.model, a.version, a.seed = model, version, seed
	a.mu.Unlock()
	a.markStarted()
	return nil
}

// Token implements serving.AnswerWriter.
func (a *answerStream) Token(token serving.Token) error {
	return a.enqueue(frame{kind: frameToken, token: token})
}

// Restart implements serving.AnswerWriter.
func (a *answerStream) Restart() error { return a.enqueue(frame{kind: frameRestart}) }

// KeepAlive implements serving.AnswerWriter.
func (a *answerStream) KeepAlive() error { return a.enqueue(frame{kind: frameKeepAlive}) }

func (a *answerStream) markStarted() {
	a.startOnce.Do(func() {
		a.mu.Lock()
		a.started = true
		a.mu.Unlock()
		close(a.startedOrFailed)
	})
}

// enqueue enqueues a frame without blocking. A full queue means that the caller
// reads too slowly: enqueue then disconnects it and returns CallerTooSlow.
func (a *answerStream) enqueue(next frame) error {
	a.markStarted()
	select {
	case <-a.disconnected:
		return fault.New(fault.CallerTooSlow, "the caller's connection is closed")
	default:
	}
	select {
	case a.frames <- next:
		return nil
	default:
		a.disconnect()
		return fault.New(fault.CallerTooSlow, "the caller's buffer is full")
	}
}

// disconnect marks the caller as disconnected and cancels the generation.
func (a *answerStream) disconnect() {
	a.disconnectOnce.Do(func() {
		close(a.disconnected)
		a.cancel(fault.New(fault.CallerTooSlow, "the caller's connection is closed"))
	})
}

// finish records the end of the generation and lets the connection's goroutine write it.
func (a *answerStream) finish(end serving.AnswerEnd, err error) {
	a.mu.Lock()
	a.end, a.failure = end, fault.From(err)
	a.mu.Unlock()
	close(a.frames)
	a.startOnce.Do(func() { close(a.startedOrFailed) })
}

// earlyFailure returns the failure of a generation whose answer did not begin, else nil.
func (a *answerStream) earlyFailure() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.failure == nil {
		return nil
	}
	return a.failure
}

// writeEvents writes the frames as server-sent events until the answer ends or a write fails.
func (a *answerStream) writeEvents(w *bufio.Writer) {
	encoder := newEventEncoder(a.requestID)
	for next := range a.frames {
		encoder.setSharedFields(a.sharedFields())
		if a.writeFrame(w, encoder, next) != nil {
			a.disconnect()
			return
		}
	}
	a.writeEnd(w, encoder)
}

func (a *answerStream) writeFrame(w *bufio.Writer, encoder *eventEncoder, next frame) error {
	if _, err := w.Write(encoder.encode(next)); err != nil {
		return err
	}
	if len(a.frames) > 0 {
		return nil
	}
	return w.Flush()
}

// writeEnd writes the last event of the answer: usage and [DONE], or an error.
func (a *answerStream) writeEnd(w *bufio.Writer, encoder *eventEncoder) {
	a.mu.Lock()
	end, failure := a.end, a.failure
	a.mu.Unlock()
	encoder.setSharedFields(a.sharedFields())
	finalEvent := encoder.encodeEnd(end)
	if failure != nil {
		finalEvent = encodeErrorEvent(a.requestID, failure)
	}
	if _, err := w.Write(finalEvent); err != nil {
		return
	}
	_ = w.Flush()
}

func (a *answerStream) sharedFields() (string, string, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.model, a.version, a.seed
}
