package membership

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Input is one thing that happened. The types of this file implement it.
type Input interface {
	apply(t *Table, now time.Time, out *Output)
}

// Tick lets time pass.
type Tick struct{}

// Received is an authenticated digest from another instance.
type Received struct {
	Digest Digest
	// Bytes is the size of the datagram with its headers.
	Bytes int
}

// Listed is the answer of the platform's instance list. It only proposes
// instances to probe: the list lags, and what the instances tell each other
// goes first.
type Listed struct {
	Peers []settings.Peer
}

// SetRevision states the configuration revision in force here.
type SetRevision struct {
	Revision uint64
}

// SetDemand states the demand of this instance; the largest entries come
// first and those past Config.DemandEntries are left out.
type SetDemand struct {
	Demand []Demand
}

// Post publishes a notice. Stamp and Origin are set by the table.
type Post struct {
	Notice Notice
}

// Leave says that this instance takes no new work from now on.
type Leave struct{}

// Introduced is another instance's answer to the question whom it knows. It
// came over a connection whose other end proved itself just now.
type Introduced struct {
	Records []Record
}
