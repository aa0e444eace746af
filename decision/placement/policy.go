package placement

import "time"

// Policy holds the costs, as times, and the limits that determine a choice.
type Policy struct {
	// PrefillPerMillisecond is the number of prompt tokens that an engine reads in
	// a millisecond; engines don't report it.
	PrefillPerMillisecond float64
	// RequestCost is added for each request in flight at a server: all of them
	// wait during the prefill of a new prompt.
	RequestCost time.Duration
	// NearCost and FarCost are added for a server in another data centre of the
	// region and in another region: for the latency and the price of the traffic.
	NearCost time.Duration
	FarCost  time.Duration
	// CallNearCost and CallFarCost are the same for calls, whose answers are
	// expected sooner: the round trip, twice for a new connection.
	CallNearCost time.Duration
	CallFarCost  time.Duration
	// PartitionCost is added for a server outside the instance's partition. Instances
	// receive with a delay what others sent, so without it many would choose the
	// same idle server when a data centre fails.
	PartitionCost time.Duration
	// FailoverPartitionCost replaces PartitionCost after the failure of a data centre,
	// when all instances send at once. It is higher than the cost of another region.
	FailoverPartitionCost time.Duration
	// AffinityDiscount is subtracted from the cost of the server that instances prefer
	// for a prompt. It is higher than the prefill of one prompt, so that retries reach
	// the server that has their prompt cached.
	AffinityDiscount time.Duration
	// PaceWeight is the part of the additional time for producing an answer at a slow server that counts as a cost: the
	// first event is what callers wait for, but a longer answer holds memory for longer and is interrupted more often.
	PaceWeight float64
	// FullCost is added for a server without enough free memory: about the time
	// until one of its generations ends.
	FullCost time.Duration
	// DefaultCallDuration is the assumed duration of a call at a server without
	// recent answers.
	DefaultCallDuration time.Duration
	// FailureCost is added for a server all of whose calls fail, and in proportion
	// for one that fails a part of them.
	FailureCost time.Duration
	// MinAvoidTime and MaxAvoidTime are the minimum and maximum time for which an
	// unreachable server is avoided; the time doubles with each consecutive failure.
	MinAvoidTime time.Duration
	MaxAvoidTime time.Duration
	// DownAvoidTime is the time for a server at whose address nothing listens. A server
	// that restarts is another process with its own entry.
	DownAvoidTime time.Duration
	// CentreFailures is the number of servers whose failure within CentreWindow
	// makes the data centre suspect: its other servers are avoided until they send
	// something.
	CentreFailures int
	CentreWindow   time.Duration
	// CallHalfLife is the half-life of the weight of past calls.
	CallHalfLife time.Duration
	// Jitter is the maximum random addition as a fraction of a cost plus 10 ms. It
	// prevents instances with the same records from all choosing the same server.
	Jitter float64
}

// DefaultPolicy returns the policy of entry instances. The prefill speed is that
// of the users' engines (8 tokens a millisecond). The costs of distance follow from
// their one-way latencies of 30 ms between regions and 0.5 to 1.4 ms between data
// centres.
func DefaultPolicy() Policy {
	return Policy{
		PrefillPerMillisecond: 8,
		RequestCost:           25 * time.Millisecond,
		NearCost:              30 * time.Millisecond,
		FarCost:               350 * time.Millisecond,
		CallNearCost:          3 * time.Millisecond,
		CallFarCost:           120 * time.Millisecond,
		PartitionCost:         150 * time.Millisecond,
		FailoverPartitionCost: 800 * time.Millisecond,
		AffinityDiscount:      1200 * time.Millisecond,
		PaceWeight:            0.75,
		FullCost:              2 * time.Second,
		DefaultCallDuration:   30 * time.Millisecond,
		FailureCost:           600 * time.Millisecond,
		MinAvoidTime:          300 * time.Millisecond,
		MaxAvoidTime:          1500 * time.Millisecond,
		DownAvoidTime:         3 * time.Second,
		CentreFailures:        2,
		CentreWindow:          1200 * time.Millisecond,
		CallHalfLife:          3 * time.Second,
		Jitter:                0.1,
	}
}
