package generation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/internal/simengine"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

const (
	// fuzzDeadline is far later than the last fault.
	fuzzDeadline = 10 * time.Minute
	pinned       = "v1"
)

var places = []simengine.Place{
	{DataCentre: "n1", Region: "n"}, {DataCentre: "n2", Region: "n"}, {DataCentre: "s1", Region: "s"},
}

var speed = simengine.Speed{Token: 29 * time.Millisecond, PrefillBase: 80 * time.Millisecond, PrefillPerToken: 200 * time.Microsecond}

// caller models the caller of a generation and checks every output against the
// oracle, which defines the valid answers of the engines.
type caller struct {
	is       *is.I
	world    *simengine.World
	config   generation.Config
	instance *simengine.Instance
	sendText bool
	// notRun holds the instances that answered "not run".
	notRun []*simengine.Instance

	tokens       []string
	positions    []cursor.Position
	hash         rollinghash.Hash
	complete     bool
	failed       *fault.Error
	disconnected bool
}

func (c *caller) connect(place simengine.Place) {
	start := generation.Start{}
	if len(c.tokens) > 0 {
		position := c.positions[len(c.positions)-1]
		start.Cursor = &position
		if c.sendText {
			start.Delivered = append([]string(nil), c.tokens...)
		}
	}
	c.disconnected, c.failed = false, nil
	instance := c.world.NewInstance(place, c.config)
	instance.Observe = func(output generation.Output) {
		if c.instance == instance && !c.disconnected {
			c.observe(output)
		}
	}
	c.instance = instance
	instance.Input(start)
}

func (c *caller) observe(output generation.Output) {
	c.is.True(!c.complete) // nothing follows the end
	switch out := output.(type) {
	case generation.Deliver:
		c.is.True(c.world.Oracle.Valid(pinned, c.hash, out.Text)) // fails for a token that no engine produced after this prefix
		c.tokens = append(c.tokens, out.Text)
		c.hash = c.hash.Extend(out.Text)
		c.is.Equal(out.Position.Offset, len(c.tokens))
		c.is.Equal(out.Position.Hash, c.hash)
		c.is.Equal(out.Position.Version, pinned)
		c.positions = append(c.positions, out.Position)
	case generation.Restart:
		c.is.Equal(c.config.OnMismatch, serving.OnMismatchRestart)
		c.tokens, c.positions, c.hash = nil, nil, 0
	case generation.Finish:
		c.is.Equal(out.Tokens, len(c.tokens))
		c.is.Equal(out.Hash, c.hash)
		c.is.True(c.world.Oracle.Complete(c.hash)) // fails for an end that no engine reached
		c.complete = true
	case generation.Fail:
		c.failed = out.Fault
		c.is.Equal(out.Fault.Execution == fault.ExecutionPartial, len(c.tokens) > 0)
		if out.Fault.Execution == fault.ExecutionNotRun {
			c.is.True(!c.config.Keyed) // an earlier submission of the key may have run
			c.notRun = append(c.notRun, c.instance)
		}
	}
}

// dropTail drops tokens that were in transit when the connection broke.
func (c *caller) dropTail(count int) {
	kept := max(0, len(c.tokens)-count)
	c.tokens, c.positions = c.tokens[:kept], c.positions[:kept]
	c.hash = rollinghash.Of(c.tokens)
}

func drawConfig(t *rapid.T) generation.Config {
	objective := rapid.SampledFrom([]estate.Objective{estate.ObjectiveLatency, estate.ObjectiveCost}).Draw(t, "objective")
	return generation.Config{
		Request:     cursor.Request{Prompt: "p"}.Fingerprint(),
		Keyed:       rapid.Bool().Draw(t, "keyed"),
		Model:       "m",
		Version:     pinned,
		PromptBytes: 500,
		Seed:        uint64(rapid.IntRange(0, 1000).Draw(t, "seed")),
		OnMismatch:  rapid.SampledFrom([]serving.OnMismatch{serving.OnMismatchError, serving.OnMismatchRestart}).Draw(t, "onMismatch"),
		Deadline:    fuzzDeadline,
		Policy:      generation.PolicyFor(estate.Recovery{Objective: objective, GracePeriod: estate.Duration(3 * time.Second)}),
	}
}

func addEngines(t *rapid.T, world *simengine.World) (mayDiffer bool) {
	count := rapid.IntRange(1, 4).Draw(t, "engines")
	for i := range count {
		engine := &simengine.Engine{
			Name: string(rune('a' + i)), Place: places[i%len(places)], Version: pinned, Speed: speed,
			Unseeded:    rapid.IntRange(0, 4).Draw(t, "unseeded") == 0,
			WrongResume: rapid.IntRange(0, 4).Draw(t, "wrongResume") == 0,
			Duplicates:  rapid.IntRange(0, 4).Draw(t, "duplicates") == 0,
		}
		engine.Gaps = rapid.IntRange(0, 4).Draw(t, "gaps") == 0
		engine.FalseEnds = rapid.IntRange(0, 4).Draw(t, "falseEnds") == 0
		if i > 0 {
			engine.Version = rapid.SampledFrom([]string{pinned, pinned, "v2"}).Draw(t, "version")
			engine.Loaded = rapid.SampledFrom([]string{"", "", "v2"}).Draw(t, "loaded")
		}
		mayDiffer = mayDiffer || engine.Unseeded || engine.FalseEnds
		world.AddEngine(engine)
	}
	return mayDiffer
}

// TestAnswersBecomeCompleteAfterFailures runs one generation, its engines and its
// caller through random failures, then restores the engines and routes. The answer
// must become complete, or end with a mismatch where an engine ignores the seed or
// sends a false end.
func TestAnswersBecomeCompleteAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := simengine.NewWorld(rapid.Uint64().Draw(t, "world"))
		mayDiffer := addEngines(t, world)
		c := &caller{is: is.NewRelaxed(t), world: world, config: drawConfig(t)}
		c.connect(places[0])
		t.Repeat(faults(c))
		world.RouterOff = false
		for _, engine := range world.Engines {
			engine.Refuses, engine.Gaps, engine.FalseEnds = false, false, false
			if engine.Crashed() {
				engine.Restart()
			}
		}
		for tries := 0; tries < 4 && !c.complete; tries++ {
			if c.disconnected || c.failed != nil {
				c.connect(places[0])
			}
			limit := world.Now() + 2*time.Minute
			world.RunUntil(limit, func() bool { return c.complete || c.failed != nil })
			if fault.HasCode(errorOf(c.failed), fault.GenerationMismatch) {
				c.is.True(mayDiffer) // engines that apply the seed and end correctly never differ
				c.is.Equal(c.config.OnMismatch, serving.OnMismatchError)
				return
			}
		}
		for _, instance := range c.notRun {
			c.is.Equal(instance.StreamsStarted, 0) // an answer of "not run" is correct
		}
		c.is.True(c.complete) // restored engines complete every answer
	})
}

func errorOf(failure *fault.Error) error {
	if failure == nil {
		return nil
	}
	return failure
}

func faults(c *caller) map[string]func(*rapid.T) {
	world := c.world
	draw := func(t *rapid.T) *simengine.Engine { return rapid.SampledFrom(world.Engines).Draw(t, "engine") }
	millis := func(t *rapid.T, limit int) time.Duration {
		return time.Duration(rapid.IntRange(1, limit).Draw(t, "millis")) * time.Millisecond
	}
	return map[string]func(*rapid.T){
		"advance":    func(t *rapid.T) { world.Advance(world.Now() + millis(t, 400)) },
		"advanceFar": func(t *rapid.T) { world.Advance(world.Now() + millis(t, 4000)) },
		"die":        func(t *rapid.T) { draw(t).Crash(rapid.Bool().Draw(t, "reset")) },
		"restart": func(t *rapid.T) {
			if engine := draw(t); engine.Crashed() {
				engine.Restart()
			}
		},
		"pause":   func(t *rapid.T) { draw(t).Pause(millis(t, 5000)) },
		"silence": func(t *rapid.T) { draw(t).Silence() },
		"refuse":  func(t *rapid.T) { engine := draw(t); engine.Refuses = !engine.Refuses },
		"noRoute": func(*rapid.T) { world.RouterOff = !world.RouterOff },
		"cut": func(t *rapid.T) {
			world.Cut(c.instance.Place.DataCentre, rapid.SampledFrom(places).Draw(t, "place").DataCentre, millis(t, 6000))
		},
		"instanceCrash": func(t *rapid.T) {
			c.instance.Crash()
			c.reconnect(t)
		},
		"callerLost": func(t *rapid.T) {
			c.disconnected = true
			c.instance.Input(generation.CallerDisconnected{})
			c.reconnect(t)
		},
	}
}

func (c *caller) reconnect(t *rapid.T) {
	if c.complete {
		return
	}
	c.disconnected = true
	c.dropTail(rapid.IntRange(0, 6).Draw(t, "lostTail"))
	c.world.Advance(c.world.Now() + time.Duration(rapid.IntRange(0, 5000).Draw(t, "away"))*time.Millisecond)
	c.sendText = rapid.Bool().Draw(t, "sendText")
	c.connect(rapid.SampledFrom(places).Draw(t, "instance"))
}
