package recovery

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/internal/simengine"
)

// Loss is one kind of failure in the middle of an answer.
type Failure string

// The kinds of loss.
const (
	// LossSingle ends the engine, with or without a reset of its connections.
	FailureSingle Failure = "single"
	// LossDouble ends the engine and then the one that takes over.
	FailureDouble Failure = "double"
	// LossPaused stops the engine for a while; it goes on as if nothing had
	// happened.
	FailurePaused Failure = "paused"
	// LossCut cuts the link between the two data centres.
	FailureCutLink Failure = "cut-link"
	// LossSilent makes the connection silent for good.
	FailureSilent Failure = "silent"
)

// Losses returns every kind of loss.
func Failures() []Failure {
	return []Failure{FailureSingle, FailureDouble, FailurePaused, FailureCutLink, FailureSilent}
}

// Durations of the losses.
const (
	minPause        = 300 * time.Millisecond
	pauseSpan       = 5 * time.Second
	minCut          = 10 * time.Second
	cutSpan         = 50 * time.Second
	secondLossSpan  = 600 * time.Millisecond
	resetInHundred  = 50
	hundred         = 100
	lossFirstToken  = answerTokens / 5
	lossTokenSpan   = answerTokens * 3 / 5
	generationLimit = 10 * time.Minute
)

// strike lets the loss happen to the engine that serves the answer.
func (r *trial) strike() {
	engine := r.engine(r.instance.Machine.Position().Server)
	random := r.world.Random
	switch r.loss {
	case FailureSingle:
		engine.Crash(random.IntN(hundred) < resetInHundred)
	case FailureDouble:
		engine.Crash(random.IntN(hundred) < resetInHundred)
		r.strikeNext = true
	case FailurePaused:
		engine.Pause(minPause + time.Duration(random.Int64N(int64(pauseSpan))))
	case FailureCutLink:
		r.world.Cut(r.instance.Place.DataCentre, engine.Place.DataCentre, minCut+time.Duration(random.Int64N(int64(cutSpan))))
	case FailureSilent:
		engine.Silence()
	}
}

// strikeAgain ends the engine that takes over, soon after it was asked to.
func (r *trial) strikeAgain(opened generation.OpenAttempt) {
	if !r.strikeNext || opened.Kind == generation.KindReattach {
		return
	}
	r.strikeNext = false
	second := r.engine(opened.Server)
	reset := r.world.Random.IntN(hundred) < resetInHundred
	r.world.After(time.Duration(r.world.Random.Int64N(int64(secondLossSpan))), func() { second.Crash(reset) })
}

func (r *trial) engine(name string) *simengine.Engine {
	for _, engine := range r.world.Engines {
		if engine.Name == name {
			return engine
		}
	}
	return nil
}
