package engine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/standin/faultnet"
)

// bootCounter makes boot ids unique within the process.
var bootCounter atomic.Uint64

// Engine is one running stand-in engine.
type Engine struct {
	settings Settings
	address  string

	mu       sync.Mutex
	faults   Faults
	boot     string
	streams  map[string]*stream
	batch    batch
	cache    *prefixCache
	counters Counters
	orders   engineapi.OrderState
	reports  []engineapi.LoadReport
	sequence uint64
	next     uint64
	running  bool
	paused   bool
	listener *faultnet.Listener
	context  context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// Counters count the work of an engine over all boots.
type Counters struct {
	Started        int `json:"started"`
	Resumed        int `json:"resumed"`
	Cancelled      int `json:"cancelled"`
	ComputedTokens int `json:"computed_tokens"`
	PromptTokens   int `json:"prompt_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	Crashes        int `json:"crashes"`
}

// Start starts an engine.
func Start(settings Settings) (*Engine, error) {
	engine := &Engine{settings: settings.withDefaults()}
	engine.address = engine.settings.Address
	if err := engine.Restart(); err != nil {
		return nil, err
	}
	return engine, nil
}

// Address returns the engine's "ip:port"; it stays the same over restarts.
func (e *Engine) Address() string { return e.address }

// Restart starts a stopped engine with a new boot id and empty memory.
func (e *Engine) Restart() error {
	listener, err := faultnet.Listen(e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = listener.Addr().String()
	e.boot = fmt.Sprintf("boot-%s-%d", e.settings.Name, bootCounter.Add(1))
	e.streams = make(map[string]*stream)
	e.batch = batch{}
	e.cache = newPrefixCache(e.settings.CacheTokens)
	e.orders = engineapi.OrderState{BootID: e.boot, Model: e.settings.Model, Version: e.settings.Version}
	e.reports = nil
	e.running, e.paused = true, false
	e.listener = listener
	ctx, cancel := context.WithCancel(context.Background())
	e.context, e.cancel = ctx, cancel
	server := &fasthttp.Server{Handler: e.handle, Name: "engine", NoDefaultDate: true, Logger: faultnet.DiscardLogger{}}
	e.wait.Go(func() { _ = server.Serve(listener) })
	e.wait.Go(func() { e.runBatch(ctx) })
	e.wait.Go(func() { e.runReports(ctx) })
	return nil
}

// Kill ends the engine at once: connections break and streams are lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	e.running = false
	streams := e.streams
	e.streams = make(map[string]*stream)
	listener, cancel := e.listener, e.cancel
	e.mu.Unlock()
	listener.Kill()
	cancel()
	for _, lost := range streams {
		lost.end()
	}
}

// Stop ends the engine and waits for its goroutines.
func (e *Engine) Stop() {
	e.Kill()
	e.wait.Wait()
}

// Pause freezes the engine until Unpause, as if its machine had stalled.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = true
	e.listener.Pause()
}

// Unpause lets a frozen engine go on as if nothing had happened.
func (e *Engine) Unpause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = false
	e.listener.Unpause()
}

// SilenceConnections makes the open connections silent for good; new ones
// work.
func (e *Engine) SilenceConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.Silence()
}

// BreakConnections closes the open connections; streams go on.
func (e *Engine) CloseConnections() {
	e.mu.Lock()
	listener := e.listener
	e.mu.Unlock()
	listener.CloseConnections()
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Counters returns the work done so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Running returns the number of streams in the batch.
func (e *Engine) RunningStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.active)
}

// Alive reports whether the engine runs.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// tokenTime returns the time of one batch step.
func (e *Engine) tokenTime(running int) time.Duration {
	extra := max(0, running-1)
	return e.settings.TokenTime + time.Duration(extra)*e.settings.TokenTimePerStream
}

// Assignment returns the model and version that the engine serves.
func (e *Engine) Assignment() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.Model + " " + e.orders.Version
}
