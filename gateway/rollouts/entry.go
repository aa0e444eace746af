package rollouts

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// Entry is an order in the store, or its removal.
type Entry struct {
	// Name is the name of the order's object.
	Name  string
	Order rollout.Order
	// Revision is that of the object's last change, by which a write is conditional.
	Revision revision.Revision
	Removed  bool
	Status   Status
	// Invalid is why the order can't be followed, nil if it can; it has the code RolloutInvalid.
	Invalid error
}

// Status is the state of an order as the store holds it.
type Status struct {
	// Present is set when the object has a state.
	Present bool
	Outcome rollout.Outcome
	To      string
	// OrderID is the identity of the order that the state belongs to, 0 when the writer did not state it. Began is when
	// that was first seen, zero when unknown.
	OrderID uint64
	Began   time.Time
}

// belongsTo reports whether the state is that of an order.
func (s *Status) belongsTo(order *rollout.Order) bool {
	return s.Present && s.To == order.To && (s.OrderID == 0 || s.OrderID == order.ID())
}

// Store holds the orders. Errors are *fault.Error; PlatformHistoryGone means that everything has to be listed again.
type Store interface {
	Rollouts(ctx context.Context) ([]Entry, revision.Revision, error)
	WatchRollouts(ctx context.Context, after revision.Revision) ([]Entry, revision.Revision, error)
	// WriteStatus writes the state of an object if it has not changed since a revision; else the error has the code
	// RolloutConflict and the entry is the object as it is now.
	WriteStatus(ctx context.Context, name string, at revision.Revision, status Status) (Entry, error)
}
