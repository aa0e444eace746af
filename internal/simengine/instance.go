package simengine

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// eventBytes is the size of a token's event on the wire beside its text.
const eventBytes = 200

// Instance is one entry instance that runs one generation.
type Instance struct {
	Place   Place
	Machine *generation.Machine
	// Observe receives every output of the machine.
	Observe func(output generation.Output)
	// CrossRegionBytes counts bytes from and to engines of other regions.
	CrossRegionBytes int
	// Started counts the streams that engines began for the instance.
	StreamsStarted int

	world       *World
	promptBytes int
	connections map[uint32]*connection
	crashed     bool
	wakeAt      time.Duration
	pending     []generation.Input
	stepping    bool
}

// NewInstance returns an instance that runs a generation of the config.
func (w *World) NewInstance(place Place, config generation.Config) *Instance {
	random := rand.New(rand.NewPCG(w.Random.Uint64(), 1))
	return &Instance{
		Place:       place,
		Machine:     generation.New(config, random),
		world:       w,
		promptBytes: config.PromptBytes,
		connections: make(map[uint32]*connection),
	}
}

// Crash ends the instance: nothing goes in or out any more.
func (i *Instance) Crash() {
	i.crashed = true
	for _, c := range i.connections {
		c.closed = true
	}
}

// Input passes an input to the machine and carries out what follows.
func (i *Instance) Input(input generation.Input) {
	i.pending = append(i.pending, input)
	if i.stepping {
		return
	}
	i.stepping = true
	for len(i.pending) > 0 && !i.crashed {
		next := i.pending[0]
		i.pending = i.pending[1:]
		for _, output := range i.Machine.Step(i.world.now, next) {
			i.carryOut(output)
			if i.Observe != nil {
				i.Observe(output)
			}
		}
	}
	i.stepping = false
	i.schedule()
}

// schedule plans the tick at the machine's wake time.
func (i *Instance) schedule() {
	at, ok := i.Machine.Wake()
	if !ok || i.crashed || at == i.wakeAt {
		return
	}
	i.wakeAt = at
	i.world.After(at-i.world.now, func() {
		if i.wakeAt == at && !i.crashed {
			i.wakeAt = 0
			i.Input(generation.Tick{})
			i.checkWake()
		}
	})
}

// checkWake panics when a machine asks for a tick that has just come, as its
// driver would call it without end.
func (i *Instance) checkWake() {
	if at, ok := i.Machine.Wake(); ok && at <= i.world.now {
		panic("the machine's wake time does not advance")
	}
}

func (i *Instance) carryOut(output generation.Output) {
	switch out := output.(type) {
	case generation.RequestRoute:
		i.route(out)
	case generation.OpenAttempt:
		i.open(out)
	case generation.CloseAttempt:
		i.close(out)
	case generation.CancelStream:
		i.cancel(out.Stream)
	}
}

func (i *Instance) route(ask generation.RequestRoute) {
	engine := i.world.pick(i.Place, ask)
	if engine == nil {
		i.pending = append(i.pending, generation.RouteFailed{RouteNumber: ask.RouteNumber, Fault: fault.New(fault.NoBackendServer, "none left")})
		return
	}
	i.pending = append(i.pending, generation.RouteChosen{RouteNumber: ask.RouteNumber, Server: engine.Name})
}

func (i *Instance) open(out generation.OpenAttempt) {
	engine := i.world.find(out.Server)
	c := &connection{instance: i, engine: engine, request: out, streamID: out.Stream.ID}
	i.connections[out.Attempt] = c
	size := i.promptBytes
	for _, token := range out.Prefix {
		size += len(token)
	}
	i.count(engine, size)
	i.world.transmit(i.Place, engine, func() { engine.accept(c) })
}

func (i *Instance) close(out generation.CloseAttempt) {
	c := i.connections[out.Attempt]
	c.closed = true
	c.cancelled = out.Cancel
	if out.Cancel && c.streamID != "" {
		i.cancelConnection(c)
	}
}

// cancelConnection ends the stream that a closed connection read.
func (i *Instance) cancelConnection(c *connection) {
	engine, boot := c.engine, c.engine.bootID()
	i.world.transmit(i.Place, engine, func() {
		if engine.bootID() == boot {
			engine.cancel(c.streamID)
		}
	})
}

func (i *Instance) cancel(stream generation.Stream) {
	engine := i.world.find(stream.Server)
	i.world.transmit(i.Place, engine, func() {
		if engine.bootID() == stream.BootID {
			engine.cancel(stream.ID)
		}
	})
}

// receive takes a message that arrived, also after the attempt was closed.
func (i *Instance) receive(c *connection, m message) {
	if i.crashed {
		return
	}
	i.count(c.engine, eventBytes+len(m.text))
	if m.kind == messageOpened {
		c.streamID = m.stream.id
		if c.cancelled {
			i.cancelConnection(c)
		}
	}
	i.Input(c.input(m))
}

func (i *Instance) count(engine *Engine, bytes int) {
	if engine.Place.Region != i.Place.Region {
		i.CrossRegionBytes += bytes
	}
}
