package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
)

// Reconciler turns observations into orders. It belongs to one goroutine.
type Reconciler struct {
	settings Settings
	// ordered holds the time of the last order to each server.
	ordered map[string]time.Duration
}

// New returns a reconciler that has given no order.
func New(settings Settings) *Reconciler {
	return &Reconciler{settings: settings, ordered: make(map[string]time.Duration)}
}

// Step returns the orders to give now. Only a valid holder of the lease may
// call it.
func (r *Reconciler) Step(now time.Duration, input Input) []Order {
	servers := slices.Clone(input.Servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	wished := r.settings.wishes(now, servers)
	transfers := r.transfers(now, servers)
	var given []Order
	for _, server := range servers {
		wish := wished[server.Name]
		if !r.mayOrder(now, input.Lease, server) || server.Observed == wish.assignment {
			continue
		}
		if !wish.assignment.None() {
			if transfers >= r.settings.MaxTransfers {
				continue
			}
			transfers++
		}
		r.ordered[server.Name] = now
		given = append(given, newOrder(server, wish, input.Lease.FencingToken))
	}
	return given
}

// transfers counts the loads at the weight store: those reported and those
// ordered a moment ago.
func (r *Reconciler) transfers(now time.Duration, servers []Server) int {
	count := 0
	for _, server := range servers {
		if server.Alive && (server.Loading || r.recentlyOrdered(now, server.Name)) {
			count++
		}
	}
	return count
}

func (r *Reconciler) recentlyOrdered(now time.Duration, server string) bool {
	at, ordered := r.ordered[server]
	return ordered && now-at < r.settings.RepeatAfter
}

// mayOrder reports whether the server may get an order now.
func (r *Reconciler) mayOrder(now time.Duration, lease Lease, server Server) bool {
	if !server.Alive || r.recentlyOrdered(now, server.Name) {
		return false
	}
	return server.ChecksFencing || now-lease.HeldSince >= r.settings.OldLeaseWait
}

func newOrder(server Server, wish wish, fencing uint64) Order {
	order := Order{Server: server.Name, Kind: engineapi.OrderLoad, Desired: wish.assignment, FencingToken: fencing, Reason: wish.reason}
	if wish.assignment.None() {
		order.Kind = engineapi.OrderUnload
		order.Reason = "no server needs the spare"
	}
	return order
}
