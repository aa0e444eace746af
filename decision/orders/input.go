package orders

import "time"

// Input is what a Reconciler decides from.
type Input struct {
	Lease Lease
	// Servers are the model engines of the lease's shard, in any order.
	Servers []Server
}

// Lease is the lease under which orders are given.
type Lease struct {
	// Fencing is the holder's fencing number.
	FencingToken uint64
	// HeldSince is when this holder acquired the lease.
	HeldSince time.Duration
}

// Server is one model engine as declared and as observed.
type Server struct {
	Name       string
	DataCentre string
	Region     string
	Service    string
	// Spare means that the server is declared without a model and replaces
	// others.
	Spare bool
	// Declared is the model version that the configuration names.
	Declared Assignment
	// ChecksFencing means that the server refuses old fencing numbers.
	ChecksFencing bool
	// Alive means that the server answers; Since is when that last changed, or
	// when the server was first observed.
	Alive          bool
	AliveChangedAt time.Duration
	// Returned means that this observer saw the server dead before.
	FailedBefore bool
	// Observed is the model version the server reports.
	Observed Assignment
	// Loading means that it is still fetching the weights of Observed.
	Loading bool
}
