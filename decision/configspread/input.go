package configspread

import "time"

// Input is one event that Machine.Step processes. The types of this file implement it.
type Input interface {
	apply(m *Machine, now time.Time)
}

// Tick lets the machine start what has become due since the last step.
type Tick struct{}

// Peer is another live instance with its revision in force.
type Peer struct {
	Instance   string
	DataCentre string
	Revision   uint64
}

// Members lists the live instances without this one.
type Members struct {
	Peers []Peer
}

// WatchEnded is the result of an ActionWatch.
type WatchEnded struct {
	// Revision is the newest revision at the platform, zero if the watch ended
	// without a change.
	Revision uint64
	Failed   bool
}

// Fetched is the result of an ActionFetch.
type Fetched struct {
	// Revision is the revision that was read completely and verified.
	Revision uint64
	Failed   bool
}
