package orders

import "time"

// Input holds everything that a Reconciler bases one step on.
type Input struct {
	Lease Lease
	// Servers are the model engines of the lease's shard, in any order.
	Servers []Server
}

// Lease is the lease under which orders are given.
type Lease struct {
	// FencingToken is the holder's fencing token.
	FencingToken uint64
	// HeldSince is when this holder acquired the lease, in local monotonic time.
	HeldSince time.Duration
}

// Server is one backend server with a model engine, as declared and as observed.
type Server struct {
	Name       string
	DataCentre string
	Region     string
	Service    string
	// Spare means that the server is declared without a model and may replace
	// a failed one.
	Spare bool
	// Declared is the model version that the configuration names.
	Declared Assignment
	// ChecksFencing means that the server refuses old fencing tokens.
	ChecksFencing bool
	// Alive means that the server answers. AliveChangedAt is when that last
	// changed, or when the server was first observed.
	Alive          bool
	AliveChangedAt time.Duration
	// FailedBefore means that this instance has observed the server failed before.
	FailedBefore bool
	// Observed is the model version the server reports.
	Observed Assignment
	// Loading means that the server is still fetching the weights of Observed.
	Loading bool
}
