package caller

import (
	"bufio"
	"context"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// frameKind is the type of a frame.
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

	// begun is closed when the answer begins or the generation ends before it.
	begun     chan struct{}
	beginOnce sync.Once
	// gone is closed when the caller's connection failed or its buffer was full.
	gone     chan struct{}
	goneOnce sync.Once

	mu      sync.Mutex
	version string
	seed    uint64
	started bool
	end     serving.AnswerEnd
	failure *fault.Error
}

func newAnswerStream(model, requestID string, buffered int, cancel context.CancelCauseFunc) *answerStream {
	return &answerStream{
		model:     model,
		requestID: requestID,
		cancel:    cancel,
		frames:    make(chan frame, buffered),
		begun:     make(chan struct{}),
		gone:      make(chan struct{}),
	}
}

// Begin implements serving.AnswerWriter.
func (a *answerStream) Begin(model, version string, seed uint64) error {
	a.mu.Lock()
	a.model, a.version, a.seed = model, version, seed
	a.mu.Unlock()
	a.open()
	return nil
}

// Token implements serving.AnswerWriter.
func (a *answerStream) Token(token serving.Token) error {
	return a.offer(frame{kind: frameToken, token: token})
}

// Restart implements serving.AnswerWriter.
func (a *answerStream) Restart() error { return a.offer(frame{kind: frameRestart}) }

// KeepAlive implements serving.AnswerWriter.
func (a *answerStream) KeepAlive() error { return a.offer(frame{kind: frameKeepAlive}) }

func (a *answerStream) open() {
	a.beginOnce.Do(func() {
		a.mu.Lock()
		a.started = true
		a.mu.Unlock()
		close(a.begun)
	})
}

// offer enqueues a frame without blocking. A full queue means that the caller
// reads too slowly: offer then disconnects it and returns CallerTooSlow.
func (a *answerStream) offer(next frame) error {
	a.open()
	select {
	case <-a.gone:
		return fault.New(fault.CallerTooSlow, "the caller's connection is closed")
	default:
	}
	select {
	case a.frames <- next:
		return nil
	default:
		a.leave()
		return fault.New(fault.CallerTooSlow, "the caller's buffer is full")
	}
}

// leave marks the caller as disconnected and cancels the generation.
func (a *answerStream) leave() {
	a.goneOnce.Do(func() {
		close(a.gone)
		a.cancel(fault.New(fault.CallerTooSlow, "the caller's connection is closed"))
	})
}

// finish records the end of the generation and lets the connection's goroutine write it.
func (a *answerStream) finish(end serving.AnswerEnd, err error) {
	a.mu.Lock()
	a.end, a.failure = end, fault.From(err)
	a.mu.Unlock()
	close(a.frames)
	a.beginOnce.Do(func() { close(a.begun) })
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

// send writes the frames as server-sent events until the answer ends or a write fails.
func (a *answerStream) send(w *bufio.Writer) {
	encoder := newEventEncoder(a.requestID)
	for next := range a.frames {
		encoder.setAnswer(a.header())
		if a.sendFrame(w, encoder, next) != nil {
			a.leave()
			return
		}
	}
	a.sendEnd(w, encoder)
}

func (a *answerStream) sendFrame(w *bufio.Writer, encoder *eventEncoder, next frame) error {
	if _, err := w.Write(encoder.encode(next)); err != nil {
		return err
	}
	if len(a.frames) > 0 {
		return nil
	}
	return w.Flush()
}

// sendEnd writes the last event of the answer: usage and [DONE], or an error.
func (a *answerStream) sendEnd(w *bufio.Writer, encoder *eventEncoder) {
	a.mu.Lock()
	end, failure := a.end, a.failure
	a.mu.Unlock()
	encoder.setAnswer(a.header())
	last := encoder.encodeEnd(end)
	if failure != nil {
		last = encodeErrorEvent(a.requestID, failure)
	}
	if _, err := w.Write(last); err != nil {
		return
	}
	_ = w.Flush()
}

func (a *answerStream) header() (string, string, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.model, a.version, a.seed
}
