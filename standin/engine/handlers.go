package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
)

// Paths of the engine's HTTP interface.
const (
	streamsPath  = "/v1/streams/"
	cancelSuffix = "/cancel"
)

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(engineapi.NonceHeader, string(ctx.Request.Header.Peek(engineapi.NonceHeader)))
	path := string(ctx.Path())
	switch {
	case path == "/v1/completions" && ctx.IsPost():
		e.handleCompletion(ctx)
	case path == "/v1/load":
		writeJSON(ctx, e.laggedReport(time.Now()))
	case path == "/v1/orders" && ctx.IsPost():
		e.handleOrder(ctx)
	case path == "/v1/orders":
		writeJSON(ctx, e.orderState())
	case path == "/control" && ctx.IsPost():
		e.handleControl(ctx)
	case path == "/counters":
		writeJSON(ctx, e.Counters())
	case strings.HasPrefix(path, streamsPath) && strings.HasSuffix(path, cancelSuffix):
		e.handleCancel(ctx, strings.TrimSuffix(strings.TrimPrefix(path, streamsPath), cancelSuffix))
	default:
		ctx.Error(`{"error":"not found"}`, fasthttp.StatusNotFound)
	}
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request engineapi.CompletionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(`{"error":"malformed body"}`, fasthttp.StatusBadRequest)
		return
	}
	if request.Resume != nil {
		e.handleResume(ctx, request)
		return
	}
	started, status := e.start(request)
	if started == nil {
		ctx.Error(`{"error":"refused"}`, status)
		return
	}
	e.serve(ctx, started, len(request.Prefix), 0)
}

// start queues a new stream. When it refuses, it returns nil and the HTTP status.
func (e *Engine) start(request engineapi.CompletionRequest) (*stream, int) {
	e.mu.Lock()
	if e.faults.crashes(request.Prompt) {
		e.counters.Crashes++
		e.mu.Unlock()
		go e.Kill()
		return nil, fasthttp.StatusInternalServerError
	}
	defer e.mu.Unlock()
	if e.faults.RefuseNew || e.faults.Leaving || !e.running || e.orders.Loading {
		return nil, fasthttp.StatusServiceUnavailable
	}
	if request.Model != e.orders.Model || (request.Version != "" && request.Version != e.orders.Version) {
		return nil, fasthttp.StatusNotFound
	}
	e.endOlderAttempts(request)
	e.lastStreamNumber++
	id := fmt.Sprintf("stream-%s-%d", e.settings.Name, e.lastStreamNumber)
	answer := Answer{
		Model:     e.orders.Model,
		Version:   e.orders.Version,
		Prompt:    request.Prompt,
		Seed:      request.Seed,
		MaxTokens: request.MaxTokens,
		Salt:      e.settings.Salt,
	}
	created := newStream(id, request, answer, e.lastStreamNumber)
	e.streams[id] = created
	e.batch.queued = append(e.batch.queued, created)
	e.counters.Started++
	return created, fasthttp.StatusOK
}

// endOlderAttempts cancels streams of the same request with a lower attempt.
func (e *Engine) endOlderAttempts(request engineapi.CompletionRequest) {
	if request.RequestID == "" {
		return
	}
	for id, other := range e.streams {
		if other.request.RequestID == request.RequestID && other.request.Attempt < request.Attempt {
			other.cancel()
			delete(e.streams, id)
		}
	}
}

func (e *Engine) handleResume(ctx *fasthttp.RequestCtx, request engineapi.CompletionRequest) {
	e.mu.Lock()
	found := e.streams[request.Resume.StreamID]
	shift := e.faults.OffsetShift
	if e.bootID != request.Resume.BootID || e.faults.ForgetStreams {
		found = nil
	}
	if found != nil {
		e.counters.Resumed++
	}
	e.mu.Unlock()
	if found == nil {
		ctx.Error(`{"error":"unknown stream"}`, fasthttp.StatusNotFound)
		return
	}
	e.serve(ctx, found, request.Resume.Offset, shift)
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	found := e.streams[id]
	if found != nil && ctx.QueryArgs().GetBool(engineapi.IdleParameter) && found.hasReader() {
		e.mu.Unlock()
		ctx.Error(`{"error":"the stream is being read"}`, fasthttp.StatusConflict)
		return
	}
	delete(e.streams, id)
	if found != nil {
		e.counters.Cancelled++
	}
	e.mu.Unlock()
	if found == nil {
		ctx.Error(`{"error":"unknown stream"}`, fasthttp.StatusNotFound)
		return
	}
	found.cancel()
	writeJSON(ctx, struct{}{})
}

// serve streams the tokens from the offset on and adds shift to stated offsets.
func (e *Engine) serve(ctx *fasthttp.RequestCtx, source *stream, offset, shift int) {
	e.mu.Lock()
	boot := e.bootID
	e.mu.Unlock()
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(engineapi.StreamIDHeader, source.id)
	ctx.Response.Header.Set(engineapi.BootIDHeader, boot)
	ctx.Response.Header.Set(engineapi.VersionHeader, source.answer.Version)
	ctx.Response.Header.Set(engineapi.SeedHeader, strconv.FormatUint(source.request.Seed, 10))
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		sender := sender{engine: e, source: source, writer: w, bootID: boot, offset: offset, offsetShift: shift}
		sender.run()
	})
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(`{"error":"internal"}`, fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
