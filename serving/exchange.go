package serving

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// LimitPeer is one member with its last reports about client accounts.
type LimitPeer struct {
	Instance   string
	DataCentre string
	ReceivedAt time.Time
	// Heard is false until the first report of the member's present run.
	HasReport bool
	Accounts  map[string][share.Kinds]share.Report
}

// LimitExchange carries the reports that divide the limits of client accounts
// between instances. It is safe for concurrent use.
type LimitExchange interface {
	// Publish sets the reports of this instance, those that the others need
	// most first; a bounded message carries the first ones.
	Publish(reports []share.AccountReport)
	// LimitPeers returns the other members that count: all that are listed,
	// heard or not, without those that died. A member may be removed only
	// after it was silent for longer than share.Config.Pause, and members of a
	// data centre that is cut off stay.
	LimitPeers() []LimitPeer
	// Period is the longest time in which a report reaches every member.
	Period() time.Duration
}
