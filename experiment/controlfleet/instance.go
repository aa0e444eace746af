package controlfleet

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/configspread"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Instance simulates one entry instance.
type Instance struct {
	Peer          settings.Peer
	Membership    *membership.Table
	Configuration *configspread.Machine
	// Stopped is true for an instance that ended: it neither sends nor receives.
	Stopped bool
	// InForceAt holds the time at which each revision came into force here.
	InForceAt map[uint64]time.Time

	// watching is true while a watch waits for a revision after watched.
	watching        bool
	watchedRevision uint64
	view            *membership.Snapshot
}

// View returns the instance's current view of the membership.
func (i *Instance) View() *membership.Snapshot { return i.view }

// Watching reports whether the instance has an open watch at the platform.
func (i *Instance) Watching() bool { return i.watching && !i.Stopped }
