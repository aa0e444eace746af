package overhead

import (
	"bufio"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Names of the only engine, model and version.
const (
	engineName   = "engine"
	modelName    = "model"
	modelVersion = "1"
)

// engine sends tokens whose text is their send time in nanoseconds since the engine's start.
type engine struct {
	listener net.Listener
	server   *fasthttp.Server
	started  time.Time
	// tokenInterval is the time between two tokens in nanoseconds; 0 sends them as fast as the
	// connection accepts them.
	tokenInterval atomic.Int64
	// sequence numbers streams and load reports.
	sequence atomic.Uint64
}

func startEngine() (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "experiment/overhead", "listen", err)
	}
	e := &engine{listener: listener, started: time.Now()}
	e.server = &fasthttp.Server{Handler: e.handle, NoDefaultDate: true}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) stop() { _ = e.server.Shutdown() }

func (e *engine) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(engineapi.NonceHeader, string(ctx.Request.Header.Peek(engineapi.NonceHeader)))
	switch string(ctx.Path()) {
	case "/v1/completions":
		var request engineapi.CompletionRequest
		if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(w, request) })
	case "/v1/load":
		body, _ := json.Marshal(engineapi.LoadReport{
			BootID: engineName, Sequence: e.sequence.Add(1), Slots: slots,
			ObservedUnixMilli: time.Now().UnixMilli(), Model: modelName, Version: modelVersion,
		})
		ctx.SetBody(body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// stream sends one answer, beginning after the prefix of the request.
func (e *engine) stream(w *bufio.Writer, request engineapi.CompletionRequest) {
	chunk := engineapi.Chunk{
		ID: "stream-" + strconv.FormatUint(e.sequence.Add(1), 10), Object: "text_completion",
		Model: modelName, Version: modelVersion, BootID: engineName, Seed: request.Seed,
	}
	hash := rollinghash.Of(request.Prefix)
	next := time.Now()
	for chunk.Offset = len(request.Prefix); chunk.Offset < request.MaxTokens; chunk.Offset++ {
		if pace := time.Duration(e.tokenInterval.Load()); pace > 0 {
			next = next.Add(pace)
			time.Sleep(time.Until(next))
		}
		text := strconv.FormatInt(int64(time.Since(e.started)), 10)
		hash = hash.Extend(text)
		chunk.Choices = []engineapi.Choice{{Text: text}}
		if !sendEvent(w, chunk) {
			return
		}
	}
	reason := "stop"
	chunk.Choices = []engineapi.Choice{{FinishReason: &reason}}
	chunk.Usage = &engineapi.Usage{CompletionTokens: request.MaxTokens, Hash: hash, ComputedTokens: request.MaxTokens}
	if sendEvent(w, chunk) {
		_, _ = w.WriteString("data: " + engineapi.DoneMarker + "\n\n")
		_ = w.Flush()
	}
}

// sendEvent writes and flushes one event and reports whether that succeeded.
func sendEvent(w *bufio.Writer, chunk engineapi.Chunk) bool {
	body, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
