package overflow

import "time"

// Policy holds the costs, as times, and the pace of the decision.
type Policy struct {
	// NearCost and FarCost are the costs of another data centre of the region and of another region: the latency and the
	// price of the traffic, with that of copies.
	NearCost time.Duration
	FarCost  time.Duration
	// MinGain is the gain in waiting below which nothing leaves, GainPart the same as a part of the wait at home: what is less
	// may be an error of figures that lag.
	MinGain  time.Duration
	GainPart float64
	// Smoothing is the weight of a new gain, and of a new change of the wait at home, in the means that count.
	Smoothing float64
	// DrainTime is the time in which the wait beyond the minimum gain is to end.
	DrainTime time.Duration
	// Step is the share in percent by which the decision changes at once, MaxSteps how many of them for a large gain.
	Step int
	// IgnoredSteps is the difference from the wanted share, in steps, that changes nothing.
	MaxSteps     int
	IgnoredSteps int
	// Period is the time between two changes: the effect of one must be seen before the next.
	Period time.Duration
	// Lifetime is how long a statement counts.
	Lifetime time.Duration
}

// StreamPolicy returns the policy for streams, CallPolicy that for calls, whose answers are expected sooner.
func StreamPolicy() Policy {
	return Policy{
		NearCost: 30 * time.Millisecond, FarCost: 350 * time.Millisecond, MinGain: 500 * time.Millisecond, GainPart: 0.25,
		Smoothing: 0.35, DrainTime: 6 * time.Second, Step: 5, MaxSteps: 2, IgnoredSteps: 2, Period: 500 * time.Millisecond, Lifetime: 4 * time.Second,
	}
}

// CallPolicy returns the policy for calls. Their waits change faster than the decision: only a lasting shortage counts.
func CallPolicy() Policy {
	policy := StreamPolicy()
	policy.NearCost, policy.FarCost, policy.MinGain = 3*time.Millisecond, 120*time.Millisecond, 150*time.Millisecond
	return policy
}
