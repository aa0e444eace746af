package configspread

import "time"

// Input is one thing that happened. The types of this file implement it.
type Input interface {
	apply(m *Machine, now time.Time)
}

// Tick lets time pass.
type Tick struct{}

// Holder is one live instance with its revision in force.
type Peer struct {
	Instance   string
	DataCentre string
	Revision   uint64
}

// Members states the live instances, this one not included.
type Members struct {
	Peers []Peer
}

// WatchEnded answers a Watch action.
type WatchEnded struct {
	// Revision is the newest one seen, zero when the wait ended without a
	// change.
	Revision uint64
	Failed   bool
}

// Fetched answers a Fetch action.
type Fetched struct {
	// Revision is the one that was read, whole and verified.
	Revision uint64
	Failed   bool
}
