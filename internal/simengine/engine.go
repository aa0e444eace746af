package simengine

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Speed is how fast an engine works.
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
	// Loaded is the version that the engine really serves; empty means
	// Version.
	Loaded string
	Speed  Speed
	// Unseeded engines produce other tokens for the same seed.
	Unseeded bool
	// Refuses makes the engine take no new stream.
	Refuses bool
	// WrongResume makes reattached streams send other tokens than they hold.
	WrongResume bool
	// Duplicates makes the engine send some tokens twice, now and then with
	// another text.
	Duplicates bool
	// Gaps makes the engine leave some tokens out.
	Gaps bool
	// FalseEnds makes the engine end some streams early with a wrong hash.
	FalseEnds bool

	world       *World
	boot        int
	dead        bool
	pausedUntil time.Duration
	streams     map[string]*stream
	streamCount int
	connections []*connection
	// Computed counts produced tokens, Prefilled those of prefixes.
	ComputedTokens  int
	PrefilledTokens int
}

// AddEngine adds an engine to the world.
func (w *World) AddEngine(engine *Engine) {
	engine.world = w
	engine.streams = make(map[string]*stream)
	w.Engines = append(w.Engines, engine)
}

// Dead reports whether the engine is down.
func (e *Engine) Crashed() bool { return e.dead }

// Die ends the engine. With a reset its connections break at once, else they
// go silent.
func (e *Engine) Crash(reset bool) {
	e.dead = true
	e.streams = make(map[string]*stream)
	for _, c := range e.connections {
		if reset {
			c.send(message{kind: messageBroken})
		}
		c.closed = true
	}
	e.connections = nil
}

// Restart brings a dead engine back with a new boot.
func (e *Engine) Restart() {
	e.dead = false
	e.boot++
}

// Pause stops the engine; it goes on afterwards as if nothing had happened.
func (e *Engine) Pause(duration time.Duration) {
	e.pausedUntil = max(e.pausedUntil, e.world.now+duration)
}

// Silence makes all open connections silent for good; new ones work.
func (e *Engine) Silence() {
	for _, c := range e.connections {
		c.silent = true
	}
}

// loaded returns the version that the engine serves.
func (e *Engine) loaded() string {
	if e.Loaded != "" {
		return e.Loaded
	}
	return e.Version
}

func (e *Engine) bootID() string { return e.Name + "-" + strconv.Itoa(e.boot) }

// whenRunning runs the action when the engine is not paused, and never when
// it died before.
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
	if !e.dead && e.boot == boot {
		action()
	}
}

// accept takes a request that arrived over a connection.
func (e *Engine) accept(c *connection) {
	if e.dead {
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
	held, ok := e.streams[c.request.Stream.ID]
	if !ok || c.request.Stream.BootID != e.bootID() {
		c.send(message{kind: messageUnknown})
		return
	}
	c.shifted = e.WrongResume && c.instance.Machine.Offset() > 0
	c.next = c.request.Offset
	c.sendOpened(held)
	held.readers = append(held.readers, c)
	held.flush()
}

func (e *Engine) begin(c *connection) {
	e.streamCount++
	c.instance.StreamsStarted++
	held := &stream{
		engine: e,
		id:     e.Name + "-s" + strconv.Itoa(e.streamCount),
		seed:   c.request.Seed,
		tokens: append([]string(nil), c.request.Prefix...),
		hash:   rollinghash.Of(c.request.Prefix),
	}
	if e.Unseeded {
		held.salt = e.world.Random.Uint64()
	}
	held.length = answerLength(held.seed + held.salt%2)
	if e.world.AnswerTokens > 0 {
		held.length = e.world.AnswerTokens
	}
	e.streams[held.id] = held
	c.next = len(c.request.Prefix)
	c.sendOpened(held)
	held.readers = append(held.readers, c)
	e.PrefilledTokens += len(c.request.Prefix)
	prefill := e.Speed.PrefillBase + e.Speed.PrefillPerToken*time.Duration(len(c.request.Prefix))
	e.world.After(prefill, held.produce)
}

// cancel ends a stream on an order that arrived.
func (e *Engine) cancel(id string) {
	e.whenRunning(func() {
		if held, ok := e.streams[id]; ok {
			held.cancelled = true
			delete(e.streams, id)
		}
	})
}
