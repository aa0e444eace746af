package membership

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Input is one event or command that Table.Step processes. The types of this file implement it.
type Input interface {
	apply(t *Table, now time.Time, out *Output)
}

// Tick runs the timers: it must come every Config.TickInterval.
type Tick struct{}

// Received is an authenticated digest from another instance.
type Received struct {
	Digest Digest
	// Bytes is the size of the datagram with its headers.
	Bytes int
}

// Listed is the answer of the platform's instance list. It only proposes
// instances to probe, because the list lags: records from the instances
// themselves take precedence.
type Listed struct {
	Peers []settings.Peer
}

// SetRevision sets the configuration revision in force at this instance.
type SetRevision struct {
	Revision uint64
}

// SetDemand sets the demand of this instance. The caller puts the largest
// entries first; those past Config.MaxDemandEntries are left out.
type SetDemand struct {
	Demand []Demand
}

// Post publishes a notice. The table sets its Stamp and Origin.
type Post struct {
	Notice Notice
}

// Leave marks this instance as leaving: it takes no new work from now on.
type Leave struct{}

// Introduced holds the records that another instance returned on request, over
// a connection that has just been authenticated.
type Introduced struct {
	Records []Record
}
