package simengine

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Speed is the time an engine takes for a token and for a prefill.
type Speed struct {
	Token           time.Duration
	PrefillBase     time.Duration
	PrefillPerToken time.Duration
}

// Engine is one simulated model engine.
type Engine struct {
	Name    string
	Place   Place
	Version string
	// Loaded is the version that the engine actually serves; empty means
	// Version.
	Loaded string
	Speed  Speed
	// Unseeded makes the engine ignore the seed: each stream has other tokens.
	Unseeded bool
	// Refuses makes the engine refuse new streams.
	Refuses bool
	// WrongResume makes reattached streams send other tokens than they produced.
	WrongResume bool
	// Duplicates makes the engine send some tokens twice, sometimes with another
	// text.
	Duplicates bool
	// Gaps makes the engine omit some tokens.
	Gaps bool
	// FalseEnds makes the engine end some streams early with a wrong hash.
	FalseEnds bool

	world       *World
	boot        int
	crashed     bool
	pausedUntil time.Duration
	streams     map[string]*stream
	streamCount int
	connections []*connection
	// ComputedTokens counts produced tokens, PrefilledTokens those of prefixes.
	ComputedTokens  int
	PrefilledTokens int
}

// AddEngine adds an engine to the world.
func (w *World) AddEngine(engine *Engine) {
	engine.world = w
	engine.streams = make(map[string]*stream)
	w.Engines = append(w.Engines, engine)
}

// Crashed reports whether the engine has crashed.
func (e *Engine) Crashed() bool { return e.crashed }

// Crash crashes the engine. With reset its connections break at once, otherwise
// they become silent.
func (e *Engine) Crash(reset bool) {
	e.crashed = true
	e.streams = make(map[string]*stream)
	for _, c := range e.connections {
		if reset {
			c.send(message{kind: messageBroken})
		}
		c.closed = true
	}
	e.connections = nil
}

// Restart starts a crashed engine with a new boot id and no streams.
func (e *Engine) Restart() {
	e.crashed = false
	e.boot++
}

// Pause suspends the engine for a time; it keeps its streams and connections.
func (e *Engine) Pause(duration time.Duration) {
	e.pausedUntil = max(e.pausedUntil, e.world.now+duration)
}

// Silence makes all open connections silent permanently; new ones work.
func (e *Engine) Silence() {
	for _, c := range e.connections {
		c.silent = true
	}
}

// servedVersion returns the version that the engine serves.
func (e *Engine) servedVersion() string {
	if e.Loaded != "" {
		return e.Loaded
	}
	return e.Version
}

func (e *Engine) bootID() string { return e.Name + "-" + strconv.Itoa(e.boot) }

// whenRunning runs the action when the engine is not paused, and never if it
// crashed before that.
func (e *Engine) whenRunning(action func()) {
	boot := e.boot
	if wait := e.pausedUntil - e.world.now; wait > 0 {
		e.world.After(wait, func() {
			if e.boot == boot {
				e.whenRunning(action)
			}
		})
		return
	}
	if !e.crashed && e.boot == boot {
		action()
	}
}

// accept handles a request that arrived over a connection.
func (e *Engine) accept(c *connection) {
	if e.crashed {
		c.send(message{kind: messageUnreachable})
		return
	}
	e.whenRunning(func() {
		e.connections = append(e.connections, c)
		switch {
		case c.request.Stream.ID != "":
			e.resume(c)
		case e.Refuses:
			c.send(message{kind: messageRefused})
		default:
			e.begin(c)
		}
	})
}

func (e *Engine) resume(c *connection) {
	engineStream, ok := e.streams[c.request.Stream.ID]
	if !ok || c.request.Stream.BootID != e.bootID() {
		c.send(message{kind: messageUnknown})
		return
	}
	c.shifted = e.WrongResume && c.instance.Machine.Offset() > 0
	c.nextOffset = c.request.Offset
	c.sendOpened(engineStream)
	engineStream.readers = append(engineStream.readers, c)
	engineStream.flush()
}

func (e *Engine) begin(c *connection) {
	e.streamCount++
	c.instance.StreamsStarted++
	engineStream := &stream{
		engine: e,
		id:     e.Name + "-s" + strconv.Itoa(e.streamCount),
		seed:   c.request.Seed,
		tokens: append([]string(nil), c.request.Prefix...),
		hash:   rollinghash.Of(c.request.Prefix),
	}
	if e.Unseeded {
		engineStream.salt = e.world.Random.Uint64()
	}
	engineStream.length = answerLength(engineStream.seed + engineStream.salt%2)
	if e.world.AnswerTokens > 0 {
		engineStream.length = e.world.AnswerTokens
	}
	e.streams[engineStream.id] = engineStream
	c.nextOffset = len(c.request.Prefix)
	c.sendOpened(engineStream)
	engineStream.readers = append(engineStream.readers, c)
	e.PrefilledTokens += len(c.request.Prefix)
	prefill := e.Speed.PrefillBase + e.Speed.PrefillPerToken*time.Duration(len(c.request.Prefix))
	e.world.After(prefill, engineStream.produce)
}

// cancel ends a stream when a cancellation arrived.
func (e *Engine) cancel(id string) {
	e.whenRunning(func() {
		if engineStream, ok := e.streams[id]; ok {
			engineStream.cancelled = true
			delete(e.streams, id)
		}
	})
}
