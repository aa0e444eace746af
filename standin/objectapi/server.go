package objectapi

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/standin/faultnet"
)

// maxWatchWait bounds one watch.
const maxWatchWait = time.Minute

// Server is a running stand-in object API.
type Server struct {
	memory   *memory
	listener *faultnet.Listener
	reads    *rate
	writes   *rate
	stopped  chan struct{}
	once     sync.Once
	wait     sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	counters Counters
}

// Start starts a stand-in object API.
func Start(settings Settings) (*Server, error) {
	address := settings.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := faultnet.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &Server{
		memory:   newMemory(),
		listener: listener,
		reads:    newRate(settings.ReadsPerSecond),
		writes:   newRate(settings.WritesPerSecond),
		stopped:  make(chan struct{}),
	}
	http := &fasthttp.Server{Handler: server.handle, MaxRequestBodySize: 2 * objectstore.MaxValueBytes, NoDefaultDate: true, Logger: faultnet.DiscardLogger{}}
	server.wait.Go(func() { _ = http.Serve(listener) })
	return server, nil
}

// URL returns the base URL of the object API.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Stop ends the stand-in.
func (s *Server) Stop() {
	s.once.Do(func() { close(s.stopped) })
	s.listener.Kill()
	s.wait.Wait()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counters returns the calls so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Server) count(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/control" && ctx.IsPost() {
		s.handleControl(ctx)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.DelayMillis > 0 {
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	}
	if faults.Outage {
		s.count(func(c *Counters) { c.Refused++ })
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if !s.allow(ctx) {
		s.count(func(c *Counters) { c.Limited++ })
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	s.dispatch(ctx)
}

// allow counts the call against its rate.
func (s *Server) allow(ctx *fasthttp.RequestCtx) bool {
	if ctx.IsGet() {
		return s.reads.take()
	}
	return s.writes.take()
}

func (s *Server) dispatch(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == objectstore.WatchPath && ctx.IsGet():
		s.handleWatch(ctx)
	case path == objectstore.ObjectsPath && ctx.IsGet():
		s.handleRead(ctx)
	case path == objectstore.ObjectsPath && ctx.IsPut():
		s.handlePut(ctx)
	case path == objectstore.ObjectsPath && ctx.IsDelete():
		s.handleDelete(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handleRead(ctx *fasthttp.RequestCtx) {
	s.count(func(c *Counters) { c.Reads++ })
	query := ctx.QueryArgs()
	if query.Has(objectstore.PrefixArgument) {
		writeJSON(ctx, objectstore.ObjectList{Objects: s.memory.list(string(query.Peek(objectstore.PrefixArgument)))})
		return
	}
	object, found := s.memory.get(string(query.Peek(objectstore.KeyArgument)))
	if !found {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, object)
}

func (s *Server) handlePut(ctx *fasthttp.RequestCtx) {
	s.count(func(c *Counters) { c.Writes++ })
	if len(ctx.PostBody()) > objectstore.MaxValueBytes {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	key := string(ctx.QueryArgs().Peek(objectstore.KeyArgument))
	value := append([]byte(nil), ctx.PostBody()...)
	version, held := s.memory.put(key, value, condition(ctx))
	if s.loseAnswer(ctx) {
		return
	}
	if !held {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	writeJSON(ctx, objectstore.Object{Key: key, Version: version})
}

func (s *Server) handleDelete(ctx *fasthttp.RequestCtx) {
	s.count(func(c *Counters) { c.Writes++ })
	exists, held := s.memory.remove(string(ctx.QueryArgs().Peek(objectstore.KeyArgument)), condition(ctx))
	switch {
	case s.loseAnswer(ctx):
	case !exists:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !held:
		ctx.SetStatusCode(fasthttp.StatusConflict)
	default:
		writeJSON(ctx, struct{}{})
	}
}

// loseAnswer breaks the connection of an applied write when that fault is on.
func (s *Server) loseAnswer(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropAnswers == 0 {
		return false
	}
	s.faults.DropAnswers--
	s.counters.AnswersDropped++
	_ = ctx.Conn().Close()
	return true
}

func (s *Server) handleWatch(ctx *fasthttp.RequestCtx) {
	s.count(func(c *Counters) { c.Watches++; c.Waiting++ })
	defer s.count(func(c *Counters) { c.Waiting-- })
	query := ctx.QueryArgs()
	after, _ := strconv.ParseUint(string(query.Peek(objectstore.AfterArgument)), 10, 64)
	wait, err := time.ParseDuration(string(query.Peek(objectstore.WaitArgument)))
	if err != nil || wait > maxWatchWait {
		wait = maxWatchWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed := s.memory.since(string(query.Peek(objectstore.PrefixArgument)), after)
		if len(changes) > 0 {
			writeJSON(ctx, objectstore.ChangeList{Changes: changes})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(ctx, objectstore.ChangeList{})
			return
		case <-s.stopped:
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(ctx, s.Counters())
}

// condition reads the condition of a write.
func condition(ctx *fasthttp.RequestCtx) objectstore.Condition {
	query := ctx.QueryArgs()
	if query.Has(objectstore.AbsentArgument) {
		return objectstore.IfAbsent()
	}
	version, err := strconv.ParseUint(string(query.Peek(objectstore.VersionArgument)), 10, 64)
	if err != nil {
		return objectstore.Always()
	}
	return objectstore.IfVersion(version)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
