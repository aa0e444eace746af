package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Policy is how a generation is repaired.
type Policy struct {
	Silence suspicion.Policy
	// Overlap starts at another server while the old stream is still probed.
	OverlapProbe bool
	// Starts is how many new streams of a broken answer start side by side, in
	// different data centres, so that the loss of one costs no more time.
	ParallelStarts int
	// ProbeBudget is the time a new connection to an old stream has to send
	// its first token.
	ProbeTimeout time.Duration
	// GracePeriod keeps the stream of a keyed caller whose connection broke.
	GracePeriod time.Duration
	// BackoffBase and BackoffCap bound the pause after repeated failures.
	BackoffBase time.Duration
	MaxBackoff  time.Duration
	// MaxFailures bounds the attempts that fail without progress.
	MaxFailures int
}

// Defaults shared by both objectives.
const (
	defaultGracePeriod        = 30 * time.Second
	defaultBackoffBase        = 50 * time.Millisecond
	defaultBackoffCap         = 2 * time.Second
	defaultMaxFailures        = 24
	defaultPrefillBase        = time.Second
	defaultPrefillPerKilobyte = 100 * time.Millisecond
	defaultDeviations         = 8
)

// Values of the latency objective.
const (
	latencyFloor       = 250 * time.Millisecond
	latencyCeiling     = 2 * time.Second
	latencyStarts      = 2
	latencyProbeBudget = 250 * time.Millisecond
)

// Values of the cost objective.
const (
	costFloor       = time.Second
	costCeiling     = 3 * time.Second
	costProbeBudget = 1500 * time.Millisecond
)

// PolicyFor returns the policy of a service's recovery settings. Without an
// objective it is the latency objective's.
func PolicyFor(recovery estate.Recovery) Policy {
	policy := Policy{
		Silence: suspicion.Policy{
			MinSilenceTimeout:  latencyFloor,
			MaxSilenceTimeout:  latencyCeiling,
			Deviations:         defaultDeviations,
			PrefillBase:        defaultPrefillBase,
			PrefillPerKilobyte: defaultPrefillPerKilobyte,
		},
		OverlapProbe:   true,
		ParallelStarts: latencyStarts,
		ProbeTimeout:   latencyProbeBudget,
		GracePeriod:    recovery.GracePeriod.Std(),
		BackoffBase:    defaultBackoffBase,
		MaxBackoff:     defaultBackoffCap,
		MaxFailures:    defaultMaxFailures,
	}
	if policy.GracePeriod == 0 {
		policy.GracePeriod = defaultGracePeriod
	}
	if recovery.Objective == estate.ObjectiveCost {
		policy.OverlapProbe = false
		policy.ParallelStarts = 1
		policy.ProbeTimeout = costProbeBudget
		policy.Silence.MinSilenceTimeout = costFloor
		policy.Silence.MaxSilenceTimeout = costCeiling
	}
	return policy
}
