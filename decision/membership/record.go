package membership

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Record holds what is known about one instance.
type Record struct {
	Peer settings.Peer `json:"peer"`
	// Incarnation is raised by the instance itself only.
	Incarnation uint64 `json:"incarnation"`
	Health      Health `json:"health"`
	// Leaving means that the instance takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Revision is the configuration revision in force at the instance.
	Revision uint64 `json:"revision"`
	// Age is the time since the instance itself was last known to be up,
	// directly or through others.
	Age time.Duration `json:"age"`
}

// Live reports whether requests may be sent to the instance.
func (r Record) Live() bool { return r.Health == Alive }
