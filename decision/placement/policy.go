package placement

import "time"

// Policy holds the weights of the choice.
type Policy struct {
	// PrefillPerMillisecond is how many prompt tokens an engine reads in a
	// millisecond; an engine does not state it.
	PrefillPerMillisecond float64
	// NeighbourCost is added for each generation that runs at a server: all of
	// them wait while a new prompt is read.
	RequestCost time.Duration
	// NearCost and FarCost are added for a server in another data centre of the
	// region and in another region: the way there, and the price of its bytes.
	NearCost time.Duration
	FarCost  time.Duration
	// CallNearCost and CallFarCost do the same for calls, whose answers are
	// expected sooner: the round trip, twice with a new connection.
	CallNearCost time.Duration
	CallFarCost  time.Duration
	// ForeignCost is added for a server that another instance prefers: what one
	// instance just sent there is not known to the others, so that many would
	// choose the same idle server when a data centre is lost.
	PartitionCost time.Duration
	// LossForeignCost replaces it after the loss of a data centre, when all
	// instances send at once: more than the way to another region.
	FailoverPartitionCost time.Duration
	// HomeGain is taken off the cost of the server that instances prefer for a
	// prompt: more than reading one prompt takes, so that callers that come again
	// find theirs in its cache.
	AffinityDiscount time.Duration
	// FullCost is added for a server without room in its memory: about the time
	// until one of its generations ends.
	FullCost time.Duration
	// UsualCall is the assumed duration of a call at a server without recent
	// answers.
	DefaultCallDuration time.Duration
	// FailureCost is added for a server all of whose calls fail, and in part
	// for one that fails in part.
	FailureCost time.Duration
	// Avoid and AvoidLimit bound how long a server that could not be reached is
	// avoided; the time doubles with each failure.
	MinAvoidTime time.Duration
	MaxAvoidTime time.Duration
	// AvoidDown is the time for a server at whose address nothing listens: it
	// comes back as another process, with an entry of its own.
	DownAvoidTime time.Duration
	// CentreFailures servers that fail within CentreWindow make the others of
	// their data centre suspects until they are heard again.
	CentreFailures int
	CentreWindow   time.Duration
	// Forget is the time after which half of what answers said is forgotten.
	CallHalfLife time.Duration
	// Spread is the part of a cost that is drawn at random, so that instances
	// with the same knowledge do not all choose the same server.
	Jitter float64
}

// DefaultPolicy returns the weights of entry instances. The speed of prompts is
// that of the users' engines (8 tokens a millisecond); the costs of distance
// follow from their 30 ms one way between regions and 0.5 to 1.4 ms between
// data centres; the others were compared in the package's tests.
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
