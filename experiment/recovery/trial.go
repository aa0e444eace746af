package recovery

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/internal/simengine"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Sizes of a trial.
const (
	answerTokens = 400
	promptBytes  = 2000
	engines      = 25
	tokenTime    = 29 * time.Millisecond
	// eventBytes is the size of one delivered event without its text.
	eventBytes = 200
)

// engineSpeed is the speed of every engine.
var engineSpeed = simengine.Speed{
	Token:           tokenTime,
	PrefillBase:     60 * time.Millisecond,
	PrefillPerToken: 200 * time.Microsecond,
}

// places are the data centres that engines are assigned to in turn; the first region has most of
// the engines.
var places = []simengine.Place{
	{DataCentre: "muenchen-1", Region: "oberbayern"},
	{DataCentre: "muenchen-2", Region: "oberbayern"},
	{DataCentre: "nuernberg-1", Region: "franken"},
	{DataCentre: "augsburg-1", Region: "schwaben"},
}

// engineFreePlace is the instance's data centre when a link is cut. It has no engines, so that
// the serving engine is always in another data centre.
var engineFreePlace = simengine.Place{DataCentre: "muenchen-3", Region: "oberbayern"}

// trial is one generation with one failure.
type trial struct {
	world                *simengine.World
	instance             *simengine.Instance
	failure              Failure
	failureOffset        int
	secondFailurePending bool
	failureInjected      bool
	deliveredTokens      int
	lastDeliveredAt      time.Duration
	resumeLatency        time.Duration
	deliveredBytes       int
	complete             bool
	ended                bool
	hasWrongToken        bool
	hash                 rollinghash.Hash
}

// runTrial runs one generation, and afterwards the streams that it left without a reader.
func runTrial(policy generation.Policy, loss Failure, seed uint64) *trial {
	r := &trial{world: simengine.NewWorld(seed), failure: loss}
	r.world.AnswerTokens = answerTokens
	for i := range engines {
		r.world.AddEngine(&simengine.Engine{Name: "e" + strconv.Itoa(i), Place: places[i%len(places)], Version: "v1", Speed: engineSpeed})
	}
	r.failureOffset = firstFailureOffset + r.world.Random.IntN(failureOffsetSpan)
	place := places[0]
	if loss == FailureCutLink {
		place = engineFreePlace
	}
	r.instance = r.world.NewInstance(place, generation.Config{
		Request: cursor.Request{Prompt: "trial"}.Fingerprint(), Keyed: true, Model: "m", Version: "v1",
		PromptBytes: promptBytes, Seed: seed, Deadline: generationTimeout, Policy: policy,
	})
	r.instance.Observe = r.observe
	r.instance.Input(generation.Start{})
	r.world.RunUntil(generationTimeout, func() bool { return r.ended })
	// Streams without a reader run on until they are cancelled or end; the tokens that they
	// produce until then are counted too.
	r.world.Advance(r.world.Now() + answerTokens*tokenTime + minCut + cutSpan)
	return r
}

func (r *trial) observe(output generation.Output) {
	switch out := output.(type) {
	case generation.Deliver:
		r.deliver(out)
	case generation.OpenAttempt:
		r.injectSecondFailure(out)
	case generation.Finish:
		r.complete, r.ended = r.world.Oracle.Complete(out.Hash), true
	case generation.Fail:
		r.ended = true
	}
}

func (r *trial) deliver(out generation.Deliver) {
	now := r.world.Now()
	r.hasWrongToken = r.hasWrongToken || !r.world.Oracle.Valid("v1", r.hash, out.Text)
	r.hash = r.hash.Extend(out.Text)
	if r.failureInjected {
		r.resumeLatency = max(r.resumeLatency, now-r.lastDeliveredAt)
	}
	r.lastDeliveredAt = now
	r.deliveredTokens++
	r.deliveredBytes += eventBytes + len(out.Text)
	if r.deliveredTokens == r.failureOffset {
		r.failureInjected = true
		// The failure occurs at a random time between two tokens.
		r.world.After(time.Duration(r.world.Random.Int64N(int64(tokenTime))), r.injectFailure)
	}
}

// computedTokens counts the tokens that all engines produced.
func (r *trial) computedTokens() int {
	total := 0
	for _, engine := range r.world.Engines {
		total += engine.ComputedTokens
	}
	return total
}

// repeatedPrefill counts the tokens of prefixes that all engines processed again.
func (r *trial) repeatedPrefill() int {
	total := 0
	for _, engine := range r.world.Engines {
		total += engine.PrefilledTokens
	}
	return total
}

// policyFor returns the policy of an objective.
func policyFor(objective estate.Objective) generation.Policy {
	return generation.PolicyFor(estate.Recovery{Objective: objective})
}
