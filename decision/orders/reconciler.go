package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
)

// Reconciler computes orders from observations. It is not safe for concurrent use.
type Reconciler struct {
	settings Settings
	// lastOrderAt holds the time of the last order to each server.
	lastOrderAt map[string]time.Duration
}

// New returns a reconciler that has not given any order yet.
func New(settings Settings) *Reconciler {
	return &Reconciler{settings: settings, lastOrderAt: make(map[string]time.Duration)}
}

// Step returns the orders to give at the local monotonic time. Only a valid holder
// of the lease may call it.
func (r *Reconciler) Step(now time.Duration, input Input) []Order {
	servers := slices.Clone(input.Servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	desired := r.settings.desiredStates(now, servers)
	transfers := r.transfers(now, servers)
	var orders []Order
	for _, server := range servers {
		want := desired[server.Name]
		if !r.mayOrder(now, input.Lease, server) || server.Observed == want.assignment {
			continue
		}
		if !want.assignment.None() {
			if transfers >= r.settings.MaxTransfers {
				continue
			}
			transfers++
		}
		r.lastOrderAt[server.Name] = now
		orders = append(orders, newOrder(server, want, input.Lease.FencingToken))
	}
	return orders
}

// transfers returns the number of loads from the weight store: those that servers
// report and those ordered within RepeatAfter.
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
	at, ordered := r.lastOrderAt[server]
	return ordered && now-at < r.settings.RepeatAfter
}

// mayOrder reports whether the server may be given an order now.
func (r *Reconciler) mayOrder(now time.Duration, lease Lease, server Server) bool {
	if !server.Alive || r.recentlyOrdered(now, server.Name) {
		return false
	}
	return server.ChecksFencing || now-lease.HeldSince >= r.settings.OldLeaseWait
}

func newOrder(server Server, want desiredState, fencing uint64) Order {
	order := Order{Server: server.Name, Kind: engineapi.OrderLoad, Desired: want.assignment, FencingToken: fencing, Reason: want.reason}
	if want.assignment.None() {
		order.Kind = engineapi.OrderUnload
		order.Reason = "no server needs the spare"
	}
	return order
}
