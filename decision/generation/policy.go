package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Policy holds the parameters by which a generation is resumed.
type Policy struct {
	Suspicion suspicion.Policy
	// OverlapProbe starts at another server while a reattachment still probes.
	Overlap bool
	// ParallelStarts is the number of new streams of an interrupted answer that
	// start in parallel, in different data centres, so that the failure of one
	// of them costs no more time.
	Starts int
	// ProbeTimeout is the time within which a reattached stream has to send its
	// first token.
	ProbeBudget time.Duration
	// GracePeriod is how long a keyed caller's stream outlives its connection.
	GracePeriod time.Duration
	// BackoffBase and MaxBackoff bound the delay after repeated failures.
	BackoffBase time.Duration
	BackoffCap  time.Duration
	// MaxFailures bounds the attempts that fail without a delivered token.
	MaxFailures int
}

// Defaults shared by both objectives.
const (
	defaultGracePeriod        = 30 * time.Second
	defaultBackoffBase        = 50 * time.Millisecond
	defaultMaxBackoff         = 2 * time.Second
	defaultMaxFailures        = 24
	defaultPrefillBase        = time.Second
	defaultPrefillPerKilobyte = 100 * time.Millisecond
	defaultDeviations         = 8
)

// Values of the latency objective.
const (
	latencyMinSilenceTimeout = 250 * time.Millisecond
	latencyMaxSilenceTimeout = 2 * time.Second
	latencyParallelStarts    = 2
	latencyProbeTimeout      = 250 * time.Millisecond
)

// Values of the cost objective.
const (
	costMinSilenceTimeout = time.Second
	costMaxSilenceTimeout = 3 * time.Second
	costProbeTimeout      = 1500 * time.Millisecond
)

// PolicyFor returns the policy for a service's recovery settings. Without an
// objective it returns that of the latency objective.
func PolicyFor(recovery estate.Recovery) Policy {
	policy := Policy{
		Suspicion: suspicion.Policy{
			Floor:              latencyMinSilenceTimeout,
			Ceiling:            latencyMaxSilenceTimeout,
			Deviations:         defaultDeviations,
			PrefillBase:        defaultPrefillBase,
			PrefillPerKilobyte: defaultPrefillPerKilobyte,
		},
		Overlap:     true,
		Starts:      latencyParallelStarts,
		ProbeBudget: latencyProbeTimeout,
		GracePeriod: recovery.GracePeriod.Std(),
		BackoffBase: defaultBackoffBase,
		BackoffCap:  defaultMaxBackoff,
		MaxFailures: defaultMaxFailures,
	}
	if policy.GracePeriod == 0 {
		policy.GracePeriod = defaultGracePeriod
	}
	if recovery.Objective == estate.ObjectiveCost {
		policy.Overlap = false
		policy.Starts = 1
		policy.ProbeBudget = costProbeTimeout
		policy.Suspicion.Floor = costMinSilenceTimeout
		policy.Suspicion.Ceiling = costMaxSilenceTimeout
	}
	return policy
}
