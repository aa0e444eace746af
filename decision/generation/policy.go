package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/suspicion"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Policy holds the parameters by which a generation is resumed.
type Policy struct {
	Silence suspicion.Policy
	// OverlapProbe starts at another server while a reattachment still probes.
	OverlapProbe bool
	// ParallelStarts is the number of new streams of an interrupted answer that
	// start in parallel, in different data centres, so that the failure of one
	// of them costs no more time.
	ParallelStarts int
	// ProbeTimeout is the time within which a reattached stream has to send its
	// first token.
	ProbeTimeout time.Duration
	// GracePeriod is how long a keyed caller's stream outlives its connection.
	GracePeriod time.Duration
	// BackoffBase and MaxBackoff bound the delay after repeated failures.
	BackoffBase time.Duration
	MaxBackoff  time.Duration
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
		Silence: suspicion.Policy{
			MinSilenceTimeout:  latencyMinSilenceTimeout,
			MaxSilenceTimeout:  latencyMaxSilenceTimeout,
			Deviations:         defaultDeviations,
			PrefillBase:        defaultPrefillBase,
			PrefillPerKilobyte: defaultPrefillPerKilobyte,
		},
		OverlapProbe:   true,
		ParallelStarts: latencyParallelStarts,
		ProbeTimeout:   latencyProbeTimeout,
		GracePeriod:    recovery.GracePeriod.Std(),
		BackoffBase:    defaultBackoffBase,
		MaxBackoff:     defaultMaxBackoff,
		MaxFailures:    defaultMaxFailures,
	}
	if policy.GracePeriod == 0 {
		policy.GracePeriod = defaultGracePeriod
	}
	if recovery.Objective == estate.ObjectiveCost {
		policy.OverlapProbe = false
		policy.ParallelStarts = 1
		policy.ProbeTimeout = costProbeTimeout
		policy.Silence.MinSilenceTimeout = costMinSilenceTimeout
		policy.Silence.MaxSilenceTimeout = costMaxSilenceTimeout
	}
	return policy
}
