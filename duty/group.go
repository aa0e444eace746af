// Package duty runs the named long-lived goroutines of a process.
//
// It restarts a duty that panics and reports the state of each. A duty that
// returns is not started again.
package duty

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/event"
)

// restartDelay is the wait before a duty that panicked is restarted.
const restartDelay = 100 * time.Millisecond

// Group runs a set of duties. A panic of a duty is logged and the duty restarted.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	logger zerolog.Logger
	wait   sync.WaitGroup
	mu     sync.Mutex
	status map[string]*Status
	order  []string
}

// Status is the state of one duty for the dump.
type Status struct {
	Name     string `json:"name"`
	Running  bool   `json:"running"`
	Restarts int    `json:"restarts"`
}

// NewGroup returns an empty group whose duties end with the parent context.
func NewGroup(parent context.Context, logger zerolog.Logger) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel, logger: logger, status: make(map[string]*Status)}
}

// Go starts a duty in its own goroutine. The duty must return when its context
// ends.
func (g *Group) Go(name string, run func(ctx context.Context)) {
	g.mu.Lock()
	state := &Status{Name: name, Running: true}
	g.status[name] = state
	g.order = append(g.order, name)
	g.mu.Unlock()
	g.wait.Go(func() { g.supervise(state, run) })
}

// supervise runs the duty until it returns without a panic or the group's context
// ends.
func (g *Group) supervise(state *Status, run func(ctx context.Context)) {
	for g.runOnce(state.Name, run) {
		g.update(state, func(s *Status) { s.Restarts++ })
		select {
		case <-g.ctx.Done():
		case <-time.After(restartDelay):
		}
		if g.ctx.Err() != nil {
			break
		}
	}
	g.update(state, func(s *Status) { s.Running = false })
}

// runOnce runs the duty once and reports whether it panicked.
func (g *Group) runOnce(name string, run func(ctx context.Context)) (panicked bool) {
	defer func() {
		if reason := recover(); reason != nil {
			panicked = true
			event.Log(g.logger, event.DutyPanicked).
				Str("duty", name).
				Str("reason", fmt.Sprint(reason)).
				Bytes("stack", debug.Stack()).
				Send()
		}
	}()
	run(g.ctx)
	return false
}

func (g *Group) update(state *Status, change func(*Status)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(state)
}

// Cancel ends the context of every duty without waiting for them to return.
func (g *Group) Cancel() { g.cancel() }

// Stop ends the context of every duty and waits until all returned.
func (g *Group) Stop() {
	g.Cancel()
	g.wait.Wait()
}

// Status returns the state of every duty in the order of their start.
func (g *Group) Status() []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Status, 0, len(g.order))
	for _, name := range g.order {
		all = append(all, *g.status[name])
	}
	return all
}
