package controlfleet

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/configspread"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Instance is one entry instance.
type Instance struct {
	Peer          settings.Peer
	Membership    *membership.Table
	Configuration *configspread.Machine
	// Gone instances neither send nor receive.
	Stopped bool
	// InForce is when each revision came into force here.
	InForceAt map[uint64]time.Time

	watching bool
	watched  uint64
	view     *membership.Snapshot
}

// View returns the instance's current view.
func (i *Instance) View() *membership.Snapshot { return i.view }

// Watching reports whether the instance holds a waiting watch.
func (i *Instance) Watching() bool { return i.watching && !i.Stopped }
