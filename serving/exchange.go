package serving

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// LimitPeer is one peer with its last reports about client accounts.
type LimitPeer struct {
	Instance   string
	DataCentre string
	// ReceivedAt is when the last report was received.
	ReceivedAt time.Time
	// HasReport is false until the first report since the peer's last start.
	HasReport bool
	Accounts  map[string][share.Kinds]share.Report
}

// LimitExchange exchanges the reports by which the limits of client accounts are
// divided between instances. It is safe for concurrent use.
type LimitExchange interface {
	// Publish sets the reports of this instance, ordered by how much the peers
	// need them: a message of limited size contains only the first ones.
	Publish(reports []share.AccountReport)
	// LimitPeers returns the peers between which the limits are divided: all
	// members except dead ones, with or without a report. A member may be removed
	// only after it sent nothing for longer than share.Config.Pause, and members
	// of an unreachable data centre stay.
	LimitPeers() []LimitPeer
	// Period is the maximum time until a report reaches every member.
	Period() time.Duration
}
