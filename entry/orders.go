package entry

import (
	"fmt"
	"time"

	"github.com/wisteriahaven/wisteriahaven/control/orders"
	"github.com/wisteriahaven/wisteriahaven/decision/lease"
	decision "github.com/wisteriahaven/wisteriahaven/decision/orders"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// ordersCandidates is how many instances of a data centre try for the orders
// lease.
const ordersCandidates = 2

// newOrdersKeeper builds the duty that gives orders to engines.
func (e *Entry) newOrdersKeeper() *orders.Controller {
	incarnation := time.Now().UnixNano()
	return orders.New(orders.Options{
		Instance:      e.settings.Instance,
		DataCentre:    e.settings.DataCentre,
		Candidate:     e.ordersCandidate,
		Store:         e.store,
		Configuration: e.follower,
		Recorder:      e.recorder,
		Engines:       engine.NewClient(),
		Logger:        e.logger,
		Lease:         lease.DefaultSettings(fmt.Sprintf("%s/%d", e.settings.Instance, incarnation)),
		Orders:        decision.DefaultSettings(),
		PollInterval:  orders.DefaultPollInterval,
	})
}
