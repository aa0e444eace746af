package recovery

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/internal/simengine"
)

// Failure is a kind of failure in the middle of an answer.
type Failure string

// The kinds of failure.
const (
	// FailureSingle ends the engine that serves the answer, with or without a reset of its
	// connections.
	FailureSingle Failure = "single"
	// FailureDouble ends the engine and then the one that resumes the answer.
	FailureDouble Failure = "double"
	// FailurePaused pauses the engine, which afterwards continues with its state unchanged.
	FailurePaused Failure = "paused"
	// FailureCutLink cuts the link between the data centres of instance and engine.
	FailureCutLink Failure = "cut-link"
	// FailureSilent silences the open connections of the engine for good; new connections work.
	FailureSilent Failure = "silent"
)

// Failures returns every kind of failure.
func Failures() []Failure {
	return []Failure{FailureSingle, FailureDouble, FailurePaused, FailureCutLink, FailureSilent}
}

// Parameters of the failures. A pause or cut lasts its minimum plus a random part of its span.
const (
	minPause              = 300 * time.Millisecond
	pauseSpan             = 5 * time.Second
	minCut                = 10 * time.Second
	cutSpan               = 50 * time.Second
	maxSecondFailureDelay = 600 * time.Millisecond
	resetPercent          = 50
	hundred               = 100
	firstFailureOffset    = answerTokens / 5
	failureOffsetSpan     = answerTokens * 3 / 5
	generationTimeout     = 10 * time.Minute
)

// injectFailure injects the failure at the engine that serves the answer.
func (r *trial) injectFailure() {
	engine := r.findEngine(r.instance.Machine.Position().Server)
	random := r.world.Random
	switch r.failure {
	case FailureSingle:
		engine.Crash(random.IntN(hundred) < resetPercent)
	case FailureDouble:
		engine.Crash(random.IntN(hundred) < resetPercent)
		r.secondFailurePending = true
	case FailurePaused:
		engine.Pause(minPause + time.Duration(random.Int64N(int64(pauseSpan))))
	case FailureCutLink:
		r.world.Cut(r.instance.Place.DataCentre, engine.Place.DataCentre, minCut+time.Duration(random.Int64N(int64(cutSpan))))
	case FailureSilent:
		engine.Silence()
	}
}

// injectSecondFailure ends the engine of the next attempt soon after the attempt is opened. An
// attempt that reattaches to the old stream does not count.
func (r *trial) injectSecondFailure(opened generation.OpenAttempt) {
	if !r.secondFailurePending || opened.Kind == generation.KindReattach {
		return
	}
	r.secondFailurePending = false
	second := r.findEngine(opened.Server)
	reset := r.world.Random.IntN(hundred) < resetPercent
	r.world.After(time.Duration(r.world.Random.Int64N(int64(maxSecondFailureDelay))), func() { second.Crash(reset) })
}

func (r *trial) findEngine(name string) *simengine.Engine {
	for _, engine := range r.world.Engines {
		if engine.Name == name {
			return engine
		}
	}
	return nil
}
