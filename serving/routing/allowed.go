package routing

import (
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Allowed returns the places in which the rules in force let a request be
// served.
func (r *Router) Allowed(request serving.RouteRequest) func(dataCentre, region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refresh() {
		return func(string, string) bool { return false }
	}
	return snapshot.NewView(r.snapshot, request, states{r, r.now()}).RuleResult.Allows
}

// CountCrossRegion counts bytes of an account's answer that came from another
// region.
func (r *Router) CountCrossRegion(account string, bytes int) { r.traffic.add(account, bytes) }
