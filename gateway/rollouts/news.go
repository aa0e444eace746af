package rollouts

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// News is what instances tell each other about an order.
type News struct {
	Order rollout.Order
	// Seen is the store's revision at which the order was found; of two orders for a service the later one is in force.
	Seen revision.Revision
	// Age is the time since the order was made.
	Age     time.Duration
	Outcome rollout.Outcome
	// Final is set when the store holds the outcome.
	Final bool
	// Evidence is what the sender counted itself. Its cells may be a part; each replaces the sender's earlier one.
	Evidence rollout.Evidence
}

// MaxCells is the maximum number of cells of an order in one digest.
const MaxCells = 24

// maxOrders is the maximum number of orders that are followed.
const maxOrders = 8
